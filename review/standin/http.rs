//! Calls of the platform and of hosts to nodes.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// Sends one request and returns the status; `None` without an answer within a second.
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}
