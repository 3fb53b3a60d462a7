//! Relaying an event stream, and continuing it at another upstream.

use super::{
    answer::Answer,
    attempts::{take, Taken, TakenBody, Tries},
    run::caller_headers,
    Ticket,
};
use crate::{
    dispatch::{Keep, Work},
    log::Event,
    node::{Node, Sent},
    relay::{AnswerBody, Broken, EventSplitter, StreamEvent},
    upstream::Outcome,
};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{body::Incoming, http::response::Parts, Response};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::{self, Sender},
    time::timeout,
};

/// Events that may wait for the caller.
const WAITING_EVENTS: usize = 8;
/// Pauses of the aimed-at length after which a stream is continued elsewhere.
const SILENT_PAUSES: u64 = 4;
/// Shortest such time, in milliseconds.
const MIN_SILENCE_MS: u64 = 800;

/// Why the events of one upstream came to an end.
enum End {
    /// The stream is whole.
    Whole,
    /// The caller has left.
    CallerLeft,
    /// The upstream broke off.
    Broken(String),
    /// The time for the request is over.
    TimedOut,
}

/// Where the events come from.
pub(super) struct Source {
    pub(super) body: Incoming,
    pub(super) keep: Keep,
    pub(super) work: Work,
    pub(super) upstream: Arc<str>,
}

impl Source {
    /// The stream of an answer, if it is one.
    fn of(taken: Taken) -> Option<Self> {
        match taken.body {
            TakenBody::Open(body, keep) if taken.head.status.is_success() => Some(Self {
                body,
                keep,
                work: taken.work,
                upstream: taken.upstream,
            }),
            TakenBody::Open(..) | TakenBody::Whole(_) => None,
        }
    }
}

/// What was relayed so far.
#[derive(Debug, Default)]
struct Relayed {
    last_event: Option<u64>,
    events: u64,
}

/// Passes on a stream from its head on.
pub(super) fn relay(
    node: &Rc<Node>,
    ticket: Ticket,
    tries: Tries,
    head: &Parts,
    source: Source,
) -> Answer {
    let (pieces, receiver) = mpsc::channel(WAITING_EVENTS);
    let mut answer = Response::new(AnswerBody::Pieces(receiver));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = caller_headers(&head.headers);
    answer.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let caller = pieces.clone();
        tokio::select! {
            () = caller.closed() => {
                let after_ms = node.now().since(ticket.started_at);
                node.log.event(Event::CallerLeft { request: &ticket.far.request, after_ms });
            }
            () = relay_all(&node, &ticket, tries, source, pieces) => {}
        }
    });
    answer
}

async fn relay_all(
    node: &Rc<Node>,
    ticket: &Ticket,
    mut tries: Tries,
    mut source: Source,
    pieces: Sender<Result<Bytes, Broken>>,
) {
    let mut ticket = ticket.clone();
    let mut relayed = Relayed {
        last_event: ticket.last_event,
        events: 0,
    };
    loop {
        let upstream = Arc::clone(&source.upstream);
        let end = relay_one(node, &ticket, source, &mut relayed, &pieces).await;
        let reason = match end {
            End::Whole => {
                node.log.event(Event::StreamEnded {
                    request: &ticket.far.request,
                    upstream: &upstream,
                    events: relayed.events,
                    after_ms: node.now().since(ticket.started_at),
                });
                return;
            }
            End::CallerLeft => return,
            End::TimedOut => "the time for the request is over".to_owned(),
            End::Broken(reason) => reason,
        };
        node.log.event(Event::AnswerBroken {
            request: &ticket.far.request,
            upstream: &upstream,
            reason: &reason,
            events: relayed.events,
            after_ms: node.now().since(ticket.started_at),
        });
        tries.sends += u32::from(tries.sends == 0);
        tries.runs += 1;
        if !tries.tried.contains(&upstream) {
            tries.tried.push(upstream);
        }
        let may_go_on = ticket.far.kind.is_repeatable()
            && tries.runs < ticket.far.max_attempts
            && ticket.left_ms(node) > 0;
        if !may_go_on {
            let _ = pieces.send(Err(Broken(reason))).await;
            return;
        }
        ticket.last_event = relayed.last_event;
        source = match take(node, &ticket, &mut tries).await.map(Source::of) {
            Ok(Some(source)) => source,
            Ok(None) | Err(_) => {
                let _ = pieces.send(Err(Broken(reason))).await;
                return;
            }
        };
        node.log.event(Event::Resumed {
            request: &ticket.far.request,
            upstream: &source.upstream,
            last_event: relayed.last_event.unwrap_or_default(),
        });
    }
}

async fn relay_one(
    node: &Rc<Node>,
    ticket: &Ticket,
    source: Source,
    relayed: &mut Relayed,
    pieces: &Sender<Result<Bytes, Broken>>,
) -> End {
    let Source {
        mut body,
        keep,
        mut work,
        upstream,
    } = source;
    let sent_at = work.sent_at();
    let mut splitter = EventSplitter::default();
    let sent = Sent {
        request: &ticket.far.request,
        route: &ticket.far.route,
        upstream: &upstream,
    };
    let mut is_first = true;
    loop {
        let piece = match next_piece(node, ticket, &mut body, is_first).await {
            Ok(Some(piece)) => piece,
            Ok(None) if splitter.has_part() => {
                node.note_outcome(sent, Outcome::Failed);
                return End::Broken("the stream ended within an event".to_owned());
            }
            Ok(None) => {
                keep.put_back(node);
                return End::Whole;
            }
            Err(end) => {
                node.note_outcome(sent, Outcome::Failed);
                return end;
            }
        };
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            if is_first {
                is_first = false;
                work.was_read();
                first_event(node, ticket, sent, node.now().since(sent_at));
            }
            if !pass_event(event, relayed, pieces).await {
                return End::CallerLeft;
            }
        }
    }
}

fn first_event(node: &Node, ticket: &Ticket, sent: Sent<'_>, after_ms: u64) {
    #[allow(clippy::cast_precision_loss)]
    node.note_outcome(
        sent,
        Outcome::Answered {
            ms: after_ms as f64,
        },
    );
    let first_byte_ms = node.now().since(ticket.started_at);
    node.metrics
        .first_byte(&ticket.far.account, &ticket.far.route, first_byte_ms);
    node.log.event(Event::Answered {
        request: sent.request,
        upstream: sent.upstream,
        status: 200,
        first_byte_ms,
    });
}

/// Passes on an event that the caller does not have. Returns false if the caller has left.
async fn pass_event(
    event: StreamEvent,
    relayed: &mut Relayed,
    pieces: &Sender<Result<Bytes, Broken>>,
) -> bool {
    let is_known = event
        .id
        .zip(relayed.last_event)
        .is_some_and(|(id, last)| id <= last);
    if is_known {
        return true;
    }
    relayed.last_event = event.id.or(relayed.last_event);
    relayed.events += 1;
    pieces.send(Ok(event.bytes)).await.is_ok()
}

/// The next bytes of the stream; `None` at its end.
async fn next_piece(
    node: &Node,
    ticket: &Ticket,
    body: &mut Incoming,
    is_first: bool,
) -> Result<Option<Bytes>, End> {
    loop {
        let left_ms = ticket.left_ms(node);
        if left_ms == 0 {
            return Err(End::TimedOut);
        }
        let limit_ms = if ticket.far.kind.is_repeatable() {
            left_ms.min(silence_ms(ticket, is_first))
        } else {
            left_ms
        };
        let frame = timeout(Duration::from_millis(limit_ms), body.frame()).await;
        match frame {
            Err(_) if limit_ms == left_ms => return Err(End::TimedOut),
            Err(_) => return Err(End::Broken("the stream has gone silent".to_owned())),
            Ok(None) => return Ok(None),
            Ok(Some(Err(err))) => return Err(End::Broken(err.to_string())),
            Ok(Some(Ok(frame))) => {
                // Trailers carry nothing that callers are promised.
                if let Ok(piece) = frame.into_data() {
                    return Ok(Some(piece));
                }
            }
        }
    }
}

fn silence_ms(ticket: &Ticket, is_first: bool) -> u64 {
    if is_first {
        return (2 * ticket.far.aim_ms).max(MIN_SILENCE_MS);
    }
    (SILENT_PAUSES * ticket.far.pause_aim_ms).max(MIN_SILENCE_MS)
}
