//! Caller that writes raw requests.

use super::{HOST, KEY};
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Response as received.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body reached its announced end.
    pub(crate) is_complete: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }
}

/// Connection to an instance.
pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
}

impl Caller {
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Self { stream }
    }

    pub(crate) fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Sends a request with the usual headers.
    pub(crate) fn send(&mut self, method: &str, path: &str, id: &str, extra: &str, body: &str) {
        self.write(&format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Carobwheel-Attempt-Id: {id}\r\n\
             X-Carobwheel-Deadline-Ms: 3000\r\nX-Carobwheel-Key: {KEY}\r\n{extra}\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Reads one response; status 0 if the connection was closed before the end of the head.
    pub(crate) fn answer(&mut self) -> Answer {
        let mut bytes = Vec::new();
        let head_end = loop {
            if let Some(at) = find(&bytes, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.read_more(&mut bytes) {
                return Answer {
                    status: 0,
                    head: String::new(),
                    body: String::new(),
                    is_complete: false,
                };
            }
        };
        let head = String::from_utf8(bytes[..head_end].to_vec()).unwrap();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let mut answer = Answer {
            status,
            head,
            body: String::new(),
            is_complete: false,
        };
        let mut rest = bytes.split_off(head_end);
        let length = answer
            .header("content-length")
            .map(|text| text.parse::<usize>().unwrap());
        if let Some(length) = length {
            while rest.len() < length && self.read_more(&mut rest) {}
            answer.is_complete = rest.len() >= length;
            answer.body = String::from_utf8_lossy(&rest).into_owned();
            return answer;
        }
        loop {
            if let Some(body) = unchunk(&rest) {
                answer.is_complete = true;
                answer.body = body;
                return answer;
            }
            if !self.read_more(&mut rest) {
                answer.body = String::from_utf8_lossy(&rest).into_owned();
                return answer;
            }
        }
    }

    /// Reads until the other end closes the connection, and returns the bytes.
    pub(crate) fn read_to_close(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        while self.read_more(&mut bytes) {}
        bytes
    }

    /// Reads until the bytes end with `end` or the other end closes the connection.
    pub(crate) fn read_until(&mut self, end: &str) -> Vec<u8> {
        let mut bytes = Vec::new();
        while !bytes.ends_with(end.as_bytes()) && self.read_more(&mut bytes) {}
        bytes
    }

    /// Reads more bytes. Returns false at the end of the stream or on an error.
    pub(crate) fn read_more(&mut self, bytes: &mut Vec<u8>) -> bool {
        let mut piece = [0; 4096];
        match self.stream.read(&mut piece) {
            Ok(0) | Err(_) => false,
            Ok(read) => {
                bytes.extend_from_slice(&piece[..read]);
                true
            }
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// Decodes a chunked body; `None` if it is incomplete.
fn unchunk(mut rest: &[u8]) -> Option<String> {
    let mut body = Vec::new();
    loop {
        let line = find(rest, b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
        rest = &rest[line + 2..];
        if size == 0 {
            return (rest.len() >= 2).then(|| String::from_utf8_lossy(&body).into_owned());
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest.get(size + 2..)?;
    }
}
