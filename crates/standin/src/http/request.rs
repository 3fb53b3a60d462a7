//! Parsing of requests.

use bytes::{Buf, BytesMut};
use std::io;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
};

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Buffer space reserved before each read, in bytes.
const READ_BUFFER_BYTES: usize = 16_384;

/// Request as received by a stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedRequest {
    /// Method in upper case.
    pub method: String,
    /// Path and query of the URL.
    pub target: String,
    /// Header names in lower case and values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Body without its framing.
    pub body: Vec<u8>,
}

/// Shorter name of a request within this crate.
pub(crate) type Request = RecordedRequest;

impl RecordedRequest {
    /// Returns the first value of the header `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns true if `text` occurs in the target, a header or the body.
    pub fn contains(&self, text: &str) -> bool {
        let body = String::from_utf8_lossy(&self.body);
        let is_in_headers =
            |(name, value): &(String, String)| name.contains(text) || value.contains(text);
        self.target.contains(text) || body.contains(text) || self.headers.iter().any(is_in_headers)
    }

    pub(super) fn keeps_alive(&self) -> bool {
        !self
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Framing of a request body.
enum Framing {
    Length(usize),
    Chunked,
}

/// Reader of the requests of one connection.
pub(crate) struct RequestReader {
    read_half: OwnedReadHalf,
    buffer: BytesMut,
}

impl RequestReader {
    pub(crate) fn new(read_half: OwnedReadHalf) -> Self {
        Self {
            read_half,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next request. Returns `None` if the caller closed the connection between requests.
    pub(crate) async fn next_request(
        &mut self,
        write_half: &mut OwnedWriteHalf,
    ) -> io::Result<Option<Request>> {
        let Some(head) = self.read_head().await? else {
            return Ok(None);
        };
        let mut request = parse_head(&head)?;
        if request.header("expect").is_some() {
            write_half
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await?;
        }
        request.body = match framing(&request)? {
            Framing::Length(length) => self.read_exact(length).await?,
            Framing::Chunked => self.read_chunks().await?,
        };
        Ok(Some(request))
    }

    /// Completes when the caller closes the connection. Bytes of a pipelined request are kept.
    pub(crate) async fn closed(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        futures::future::pending().await
    }

    async fn fill(&mut self) -> io::Result<()> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        match self.read_half.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    async fn read_head(&mut self) -> io::Result<Option<BytesMut>> {
        loop {
            if let Some(end) = find_bytes(&self.buffer, b"\r\n\r\n") {
                let head = self.buffer.split_to(end);
                self.buffer.advance(4);
                return Ok(Some(head));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let was_empty = self.buffer.is_empty();
            match self.fill().await {
                Ok(()) => {}
                Err(_) if was_empty => return Ok(None),
                Err(err) => return Err(err),
            }
        }
    }

    async fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.buffer.split_to(length).to_vec())
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find_bytes(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer.split_to(end)).into_owned();
                self.buffer.advance(2);
                return Ok(line);
            }
            self.fill().await?;
        }
    }

    async fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let digits = line.split(';').next().unwrap_or_default().trim();
            let length =
                usize::from_str_radix(digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            if body.len() + length > MAX_BODY_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            body.extend(self.read_exact(length).await?);
            self.read_line().await?;
            if length == 0 {
                return Ok(body);
            }
        }
    }
}

fn find_bytes(buffer: &[u8], wanted: &[u8]) -> Option<usize> {
    buffer
        .windows(wanted.len())
        .position(|window| window == wanted)
}

fn parse_head(head: &[u8]) -> io::Result<Request> {
    let text = std::str::from_utf8(head).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut lines = text.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body: Vec::new(),
    })
}

fn framing(request: &Request) -> io::Result<Framing> {
    if request.header("transfer-encoding").is_some() {
        return Ok(Framing::Chunked);
    }
    let length = request.header("content-length").unwrap_or("0");
    let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    if length > MAX_BODY_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(Framing::Length(length))
}
