//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and single calls.

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

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

pub struct Answer {
    pub status: u16,
    pub headers: String,
    pub body: String,
}

impl Answer {
    pub fn new(status: u16, body: &str) -> Answer {
        Answer { status, headers: String::new(), body: body.to_owned() }
    }
}

/// Serves connections of a listener; `None` from the handler closes a connection without an answer.
pub fn serve(listener: TcpListener, handle: Arc<dyn Fn(&Request) -> Option<Answer> + Send + Sync>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let Ok(read_half) = stream.try_clone() else { return };
                let _ = stream.set_nodelay(true);
                let (mut reader, mut stream) = (BufReader::new(read_half), stream);
                while let Some(request) = read_request(&mut reader) {
                    let Some(answer) = handle(&request) else { return };
                    let Answer { status, headers, body } = answer;
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, usize)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return Some((first, length));
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, length: usize) -> Option<String> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, length) = read_head(reader)?;
    let body = read_body(reader, length)?;
    let mut words = first.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pair = |pair: &str| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (decode(key), decode(value))
    };
    let query = query.split('&').filter(|text| !text.is_empty()).map(pair).collect();
    Some(Request { method, path: decode(path), query, body })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let escaped = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let escaped = escaped.and_then(|hex| std::str::from_utf8(hex).ok());
        match escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call on a connection of its own; returns the status and the body of the answer.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, length) = read_head(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, length).unwrap_or_default()))
}
