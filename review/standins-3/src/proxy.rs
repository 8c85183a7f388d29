//! A TCP proxy that can hold up what it receives.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Serves `at` in front of `to`. While `holds` is set, bytes from the callers wait; they are delivered later also if
/// their sender has ended meanwhile.
pub fn start(at: SocketAddrV4, to: SocketAddrV4, holds: Arc<AtomicBool>) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let holds = Arc::clone(&holds);
            thread::spawn(move || {
                let _ = carry(caller, to, &holds);
            });
        }
    });
    Ok(())
}

fn carry(mut caller: TcpStream, to: SocketAddrV4, holds: &AtomicBool) -> std::io::Result<()> {
    let mut buffer = [0; 4_096];
    let mut node: Option<TcpStream> = None;
    loop {
        let length = caller.read(&mut buffer)?;
        if length == 0 {
            return Ok(());
        }
        while holds.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
        let stream = match &mut node {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(SocketAddrV4::new(*to.ip(), to.port()))?;
                let (mut answers, mut back) = (stream.try_clone()?, caller.try_clone()?);
                thread::spawn(move || {
                    let _ = std::io::copy(&mut answers, &mut back);
                    let _ = back.shutdown(std::net::Shutdown::Both);
                });
                node.insert(stream)
            }
        };
        stream.write_all(&buffer[..length])?;
    }
}
