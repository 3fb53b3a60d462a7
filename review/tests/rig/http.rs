//! HTTP/1.1 messages on plain sockets.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// Request or response as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body reached its stated end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a message; `None` if the connection ended before its head was complete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    reader
        .read_line(&mut message.line)
        .ok()
        .filter(|read| *read > 0)?;
    message.line.truncate(message.line.trim_end().len());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        message.is_complete = read_chunks(reader, &mut message.body).is_some();
        return Some(message);
    }
    let length: usize = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    message.is_complete = reader.read_exact(&mut message.body).is_ok();
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
