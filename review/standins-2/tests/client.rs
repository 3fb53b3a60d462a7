//! Stand-in of a client: sends a request and reads its answer.

use crate::{
    http::{read_body, read_chunk, read_head, Head},
    record::Record,
};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Time at which the last byte of the request was sent, in seconds; `None` if none was.
    pub sent_s: Option<f64>,
    pub status: u16,
    pub is_sealed: bool,
    pub body: Vec<u8>,
    /// Whether the answer was complete.
    pub is_whole: bool,
    /// Time of its end, in seconds.
    pub ended_s: f64,
    pub error: String,
}

/// Sends a request on a new channel. The head ends with a blank line.
pub fn send(record: &Record, address: SocketAddr, id: &str, head: &str, body: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer::default();
    if let Err(err) = exchange(record, address, head, body, limit, &mut answer) {
        answer.error = err.to_string();
    }
    answer.ended_s = record.now();
    let end = if answer.is_whole { "whole" } else { "not whole" };
    record.line(&format!(
        "client of {id} got {} {end}, {} bytes {}",
        answer.status,
        answer.body.len(),
        answer.error
    ));
    answer
}

fn exchange(
    record: &Record,
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    answer.sent_s = Some(record.now());
    let mut reader = BufReader::new(stream);
    let head: Head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    answer.status = head.status();
    answer.is_sealed = head.get("x-carobwheel-server-seal").is_some();
    if head.get("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            answer.body.extend_from_slice(&chunk);
        }
    } else {
        answer.body = read_body(&mut reader, &head, true)?;
    }
    answer.is_whole = true;
    Ok(())
}
