//! Writing of answers.

use serde::Serialize;
use std::{fmt::Write, io};
use tokio::{io::AsyncWriteExt, net::tcp::OwnedWriteHalf};

const JSON: &str = "application/json";

/// State of a connection after an answer.
pub(crate) enum ConnectionState {
    /// The answer is complete and the connection can serve another request.
    Reusable(OwnedWriteHalf),
    /// The connection must be closed.
    Closed,
}

/// Write half of a connection with an unanswered request. Dropping it closes the connection.
pub(crate) struct Responder {
    write_half: OwnedWriteHalf,
    keeps_alive: bool,
    headers: String,
}

impl Responder {
    pub(crate) fn new(write_half: OwnedWriteHalf, keeps_alive: bool) -> Self {
        Self {
            write_half,
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
    pub(crate) async fn send_json(self, status: u16, body: &impl Serialize) -> ConnectionState {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.send_body(status, JSON, &body).await
    }

    /// Answers with a body and its content length.
    pub(crate) async fn send_body(
        self,
        status: u16,
        content_type: &str,
        body: &[u8],
    ) -> ConnectionState {
        self.send_truncated(status, content_type, body, body.len())
            .await
    }

    /// Answers with the content length of the complete body but sends only its first `sent` bytes.
    /// The connection is closed if bytes are missing.
    pub(crate) async fn send_truncated(
        mut self,
        status: u16,
        content_type: &str,
        body: &[u8],
        sent: usize,
    ) -> ConnectionState {
        let framing = format!("content-length: {}", body.len());
        let mut answer = self.head(status, content_type, &framing);
        answer.extend(&body[..sent.min(body.len())]);
        let written = self.write_half.write_all(&answer).await;
        if written.is_err() || sent < body.len() || !self.keeps_alive {
            return ConnectionState::Closed;
        }
        ConnectionState::Reusable(self.write_half)
    }

    /// Begins an answer with chunked transfer encoding.
    pub(crate) async fn start_stream(mut self, content_type: &str) -> io::Result<BodyWriter> {
        let head = self.head(200, content_type, "transfer-encoding: chunked");
        self.write_half.write_all(&head).await?;
        Ok(BodyWriter {
            write_half: self.write_half,
            keeps_alive: self.keeps_alive,
            sent_bytes: 0,
            abort_after_bytes: None,
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

/// Writer of a chunked body. Dropping it without [`BodyWriter::finish`] leaves the body truncated.
pub(crate) struct BodyWriter {
    write_half: OwnedWriteHalf,
    keeps_alive: bool,
    sent_bytes: usize,
    abort_after_bytes: Option<usize>,
}

impl BodyWriter {
    /// Makes sending fail after `bytes` bytes of the body, so that the connection is closed there.
    pub(crate) fn abort_after(&mut self, bytes: Option<usize>) {
        self.abort_after_bytes = bytes;
    }

    /// Sends one chunk.
    pub(crate) async fn send(&mut self, data: &[u8]) -> io::Result<()> {
        let remaining = self
            .abort_after_bytes
            .map_or(data.len(), |limit| limit - self.sent_bytes);
        let data = &data[..remaining.min(data.len())];
        if !data.is_empty() {
            let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
            chunk.extend(data);
            chunk.extend(b"\r\n");
            self.write_half.write_all(&chunk).await?;
            self.sent_bytes += data.len();
        }
        if self.abort_after_bytes == Some(self.sent_bytes) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Ends the body.
    pub(crate) async fn finish(mut self) -> ConnectionState {
        let written = self.write_half.write_all(b"0\r\n\r\n").await;
        if written.is_err() || !self.keeps_alive {
            return ConnectionState::Closed;
        }
        ConnectionState::Reusable(self.write_half)
    }
}
