//! Minimal HTTP/1.1: a server with a thread for each connection, and calls on a connection of their own.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Status, further header lines and body of an answer.
pub type Answer = (u16, String, String);

pub type Handler = Arc<dyn Fn(&Request) -> Answer + Send + Sync>;

/// Serves until `is_stopped` is set.
pub fn serve(
    address: SocketAddrV4,
    is_stopped: Arc<AtomicBool>,
    handler: Handler,
) -> JoinHandle<()> {
    let listener = bind(address);
    listener.set_nonblocking(true).expect("a listener can be made non-blocking");
    thread::spawn(move || {
        while !is_stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((connection, _)) => {
                    let (handler, is_stopped) = (Arc::clone(&handler), Arc::clone(&is_stopped));
                    thread::spawn(move || serve_connection(connection, &handler, &is_stopped));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    })
}

/// Binds a listener; a former owner of the address may still be closing.
fn bind(address: SocketAddrV4) -> TcpListener {
    for _ in 0..500 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("cannot listen at {address}");
}

fn serve_connection(connection: TcpStream, handler: &Handler, is_stopped: &AtomicBool) {
    let _ = connection.set_nonblocking(false);
    let _ = connection.set_nodelay(true);
    let Ok(mut writer) = connection.try_clone() else { return };
    let mut reader = BufReader::new(connection);
    while let Some(request) = read_request(&mut reader) {
        if is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let (status, headers, body) = handler(&request);
        let answer = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let length = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
    Some(Request { method, path: path.to_owned(), query, body: String::from_utf8(body).ok()? })
}

/// Reads the header lines and returns the length of the body.
fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<usize> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.split_once(':') else { return Some(length) };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|code| std::str::from_utf8(code).ok());
        match (bytes[at], code.and_then(|code| u8::from_str_radix(code, 16).ok())) {
            (b'%', Some(byte)) => {
                plain.push(byte);
                at += 3;
            }
            (byte, _) => {
                plain.push(if byte == b'+' { b' ' } else { byte });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Encodes a request.
pub fn encode(method: &str, to: SocketAddrV4, path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Sends a request and returns the status of the answer, if one comes in time.
pub fn call(to: SocketAddrV4, request: &[u8], timeout: Duration) -> Option<u16> {
    let mut connection = TcpStream::connect_timeout(&SocketAddr::V4(to), timeout).ok()?;
    connection.set_read_timeout(Some(timeout)).ok()?;
    connection.write_all(request).ok()?;
    let mut reader = BufReader::new(connection);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}
