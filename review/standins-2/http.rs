//! A small HTTP/1.1 server and client.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Call {
    pub method: String,
    pub path: String,
    query: Vec<(String, String)>,
    pub body: String,
}

impl Call {
    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let hex: Vec<u8> = rest.by_ref().take(2).collect();
            let hex = String::from_utf8(hex).unwrap_or_default();
            bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            bytes.push(if byte == b'+' { b' ' } else { byte });
        }
    }
    String::from_utf8(bytes).unwrap_or_default()
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Call {
        method,
        path: path.to_owned(),
        query: pairs.map(|(key, value)| (decode(key), decode(value))).collect(),
        body: String::from_utf8(body).ok()?,
    })
}

/// Serves each connection in a thread of its own. `answer` returns status and body; `header` is added to each answer.
pub fn serve(
    address: SocketAddrV4,
    header: &'static str,
    answer: impl Fn(&Call) -> (u16, String) + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let Ok(mut output) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(call) = read_call(&mut reader) {
                    let (status, body) = answer(&call);
                    let text = format!(
                        "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\n{header}content-length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if output.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Sends one call on a connection of its own, and returns the status of the answer if it comes within a second.
pub fn call(address: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let timeout = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}
