//! Writing answers.

use serde::Serialize;
use std::{fmt::Write, io};
use tokio::{io::AsyncWriteExt, net::tcp::OwnedWriteHalf};

const JSON: &str = "application/json";

/// What becomes of a connection after an answer.
pub(crate) enum Ending {
    /// The answer is complete; the connection takes another request.
    Reusable(OwnedWriteHalf),
    /// The connection closes.
    Closed,
}

/// The writing end of a connection that owes an answer. Dropping it closes the connection.
pub(crate) struct Responder {
    half: OwnedWriteHalf,
    keeps_alive: bool,
    headers: String,
}

impl Responder {
    pub(crate) fn new(half: OwnedWriteHalf, keeps_alive: bool) -> Self {
        Self {
            half,
            keeps_alive,
            headers: String::new(),
        }
    }

    /// Adds a header to the answer.
    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        write!(self.headers, "{name}: {value}\r\n").unwrap_or_default();
        self
    }

    /// Answers with a JSON body.
    pub(crate) async fn json(self, status: u16, body: &impl Serialize) -> Ending {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.whole(status, JSON, &body).await
    }

    /// Answers with a body whose length is announced.
    pub(crate) async fn whole(self, status: u16, content_type: &str, body: &[u8]) -> Ending {
        self.cut_off(status, content_type, body, body.len()).await
    }

    /// Announces the whole body but sends only its first `sent` bytes. The connection closes when
    /// bytes are missing.
    pub(crate) async fn cut_off(
        mut self,
        status: u16,
        content_type: &str,
        body: &[u8],
        sent: usize,
    ) -> Ending {
        let framing = format!("content-length: {}", body.len());
        let mut answer = self.head(status, content_type, &framing);
        answer.extend(&body[..sent.min(body.len())]);
        let written = self.half.write_all(&answer).await;
        if written.is_err() || sent < body.len() || !self.keeps_alive {
            return Ending::Closed;
        }
        Ending::Reusable(self.half)
    }

    /// Begins an answer in chunks.
    pub(crate) async fn stream(mut self, content_type: &str) -> io::Result<BodyWriter> {
        let head = self.head(200, content_type, "transfer-encoding: chunked");
        self.half.write_all(&head).await?;
        Ok(BodyWriter {
            half: self.half,
            keeps_alive: self.keeps_alive,
            sent_bytes: 0,
            cut_after_bytes: None,
        })
    }

    fn head(&self, status: u16, content_type: &str, framing: &str) -> Vec<u8> {
        let reason = if status < 400 { "OK" } else { "Error" };
        let close = if self.keeps_alive {
            ""
        } else {
            "connection: close\r\n"
        };
        format!(
            "HTTP/1.1 {status} {reason}\r\ncontent-type: {content_type}\r\n{framing}\r\n{close}{}\r\n",
            self.headers
        )
        .into_bytes()
    }
}

/// Writes a body in chunks. Dropping it without [`BodyWriter::finish`] cuts the body off.
pub(crate) struct BodyWriter {
    half: OwnedWriteHalf,
    keeps_alive: bool,
    sent_bytes: usize,
    cut_after_bytes: Option<usize>,
}

impl BodyWriter {
    /// Lets the connection die once `bytes` of the body are sent.
    pub(crate) fn cut_after(&mut self, bytes: Option<usize>) {
        self.cut_after_bytes = bytes;
    }

    /// Sends one chunk.
    pub(crate) async fn send(&mut self, data: &[u8]) -> io::Result<()> {
        let room = self
            .cut_after_bytes
            .map_or(data.len(), |limit| limit - self.sent_bytes);
        let data = &data[..room.min(data.len())];
        if !data.is_empty() {
            let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
            chunk.extend(data);
            chunk.extend(b"\r\n");
            self.half.write_all(&chunk).await?;
            self.sent_bytes += data.len();
        }
        if self.cut_after_bytes == Some(self.sent_bytes) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Ends the body.
    pub(crate) async fn finish(mut self) -> Ending {
        let written = self.half.write_all(b"0\r\n\r\n").await;
        if written.is_err() || !self.keeps_alive {
            return Ending::Closed;
        }
        Ending::Reusable(self.half)
    }
}
