//! Relaying of event streams, and resumption on another upstream after a failure.

use super::{
    answer::Answer,
    attempts::{send_until_answered, Attempts, UpstreamAnswer, UpstreamBody},
    reach::{cut_off_if, note_frame},
    run::caller_headers,
    RequestContext,
};
use crate::{
    crash::SendWatch,
    dispatch::{is_closed_by_upstream, ConnectionCheckout, LoadGuard},
    log::Event,
    memory::Guard,
    node::{Node, SendIds},
    relay::{body_queue, BodySender, EventSplitter, EventTooLong, StreamEvent},
    upstream::Outcome,
};
use bytes::Bytes;
use carobwheel_core::memory::{SizeClass, Use};
use http_body_util::BodyExt as _;
use hyper::{
    body::Incoming,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    http::response::Parts,
    HeaderMap, Response,
};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::{sleep, timeout, Instant};

/// Multiple of the target pause between events after which a silent stream is resumed on another
/// upstream.
const SILENCE_PAUSE_FACTOR: u64 = 4;
/// Lower bound of that timeout, in milliseconds.
const MIN_SILENCE_MS: u64 = 800;

/// Size up to which the buffered part of an event takes no reservation, in bytes.
const FREE_EVENT_BYTES: usize = 16 * 1024;
/// Maximum size of what is read from an upstream at once, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Longest wait for the memory of a large event. Longer than it takes until the connections of callers
/// that do not read are closed for it.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(3_000);
/// Interval at which a stream tries again to reserve that memory.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reason why the stream of one upstream has ended.
enum StreamEnd {
    /// The stream is complete.
    Whole,
    /// The caller has disconnected.
    CallerLeft,
    /// The upstream's stream failed.
    Broken(String),
    /// No event arrived in time, and another upstream may take over.
    Silent,
    /// The upstream closed or reset the connection before its first event.
    LostAtStart(String),
    /// The deadline of the request has passed.
    TimedOut,
    /// There is too little memory for the rest of an event.
    OutOfMemory,
}

/// Event stream of one upstream.
pub(super) struct StreamSource {
    body: Incoming,
    checkout: ConnectionCheckout,
    load_guard: LoadGuard,
    send_watch: SendWatch,
    upstream: Arc<str>,
    splitter: EventSplitter,
    has_events: bool,
    /// Whether a length or chunks state the end of the stream.
    is_framed: bool,
    /// Whether the upstream was silent before; its run is then counted already.
    was_silent: bool,
}

impl StreamSource {
    /// Stream of which nothing was read yet.
    pub(super) fn new(
        headers: &HeaderMap,
        body: Incoming,
        checkout: ConnectionCheckout,
        load_guard: LoadGuard,
        send_watch: SendWatch,
        upstream: Arc<str>,
    ) -> Self {
        Self {
            body,
            checkout,
            load_guard,
            send_watch,
            upstream,
            splitter: EventSplitter::default(),
            has_events: false,
            is_framed: headers.contains_key(CONTENT_LENGTH)
                || headers.contains_key(TRANSFER_ENCODING),
            was_silent: false,
        }
    }

    /// Whether the end of the connection ended the stream before its first event.
    fn is_cut_at_start(&self) -> bool {
        !self.has_events && !self.is_framed
    }

    /// The event stream of a response; `None` if the response is buffered or an error.
    fn from_answer(answer: UpstreamAnswer) -> Option<Self> {
        match answer.body {
            UpstreamBody::Unread(body, checkout) if answer.head.status.is_success() => {
                Some(Self::new(
                    &answer.head.headers,
                    body,
                    checkout,
                    answer.load_guard,
                    answer.send_watch,
                    answer.upstream,
                ))
            }
            UpstreamBody::Unread(..) | UpstreamBody::Large(_) | UpstreamBody::Buffered(_) => None,
        }
    }
}

/// Progress of the relay, over all upstreams of the stream.
#[derive(Debug, Default)]
struct RelayProgress {
    last_event: Option<u64>,
    events: u64,
}

/// Starts the relay of a stream in a task of its own and returns the response to the caller.
pub(super) fn relay(
    node: &Rc<Node>,
    ctx: RequestContext,
    attempts: Attempts,
    head: &Parts,
    source: StreamSource,
) -> Answer {
    let (caller, body) = body_queue(&ctx.memory);
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = caller_headers(&head.headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        tokio::select! {
            () = caller.closed() => {
                let after_ms = node.now().since(ctx.started_at);
                node.log.event(Event::CallerLeft { request: &ctx.meta.request, after_ms });
            }
            () = relay_all(&node, &ctx, attempts, source, &caller) => {}
        }
    });
    answer
}

/// Relays the stream, and resumes it on another upstream where the route allows it.
async fn relay_all(
    node: &Rc<Node>,
    ctx: &RequestContext,
    mut attempts: Attempts,
    mut source: StreamSource,
    caller: &BodySender,
) {
    let mut ctx = ctx.clone();
    let mut progress = RelayProgress {
        last_event: ctx.last_event,
        events: 0,
    };
    loop {
        let may_resume = may_resume(&ctx, &attempts, &source);
        let end = relay_one(node, &ctx, &mut source, &mut progress, caller, may_resume).await;
        let (reason, is_silent) = match end {
            StreamEnd::Whole => {
                node.log.event(Event::StreamEnded {
                    request: &ctx.meta.request,
                    upstream: &source.upstream,
                    events: progress.events,
                    after_ms: node.now().since(ctx.started_at),
                });
                source.checkout.check_in(node);
                return;
            }
            StreamEnd::CallerLeft => return,
            StreamEnd::OutOfMemory => {
                let reason = "too little memory for an event".to_owned();
                node.metrics.count_dropped("event");
                node.log.event(Event::AnswerBroken {
                    request: &ctx.meta.request,
                    upstream: &source.upstream,
                    reason: &reason,
                    events: progress.events,
                    after_ms: node.now().since(ctx.started_at),
                });
                caller.break_off(reason).await;
                return;
            }
            StreamEnd::TimedOut => ("the deadline of the request has passed".to_owned(), false),
            StreamEnd::Broken(reason) => (reason, false),
            StreamEnd::Silent => ("no event arrived in time".to_owned(), true),
            StreamEnd::LostAtStart(reason) => {
                attempts.has_lost_engine = true;
                (reason, false)
            }
        };
        if !source.was_silent {
            attempts.sends += u32::from(attempts.sends == 0);
            attempts.runs += 1;
        }
        if !(is_silent && source.was_silent) {
            node.log.event(Event::AnswerBroken {
                request: &ctx.meta.request,
                upstream: &source.upstream,
                reason: &reason,
                events: progress.events,
                after_ms: node.now().since(ctx.started_at),
            });
        }
        if !attempts.tried.contains(&source.upstream) {
            attempts.tried.push(Arc::clone(&source.upstream));
        }
        ctx.last_event = progress.last_event;
        let may_repeat = !attempts.has_lost_engine || node.may_repeat_after_crash(&ctx);
        let next = if may_resume && may_repeat && ctx.left_ms(node) > 0 {
            let answer = send_until_answered(node, &ctx, &mut attempts).await;
            if let Ok(answer) = &answer {
                attempts.runs += u32::from(!answer.is_stream());
            }
            answer.ok().and_then(StreamSource::from_answer)
        } else {
            None
        };
        match next {
            Some(next) => source = next,
            // The upstream may still be at work: only a replacement ends its stream.
            None if is_silent => {
                source.was_silent = true;
                continue;
            }
            None => {
                caller.break_off(reason).await;
                return;
            }
        }
        node.log.event(Event::Resumed {
            request: &ctx.meta.request,
            upstream: &source.upstream,
            last_event: progress.last_event.unwrap_or_default(),
        });
    }
}

/// Whether the stream may run on another upstream if this one fails.
fn may_resume(ctx: &RequestContext, attempts: &Attempts, source: &StreamSource) -> bool {
    let runs = attempts.runs + u32::from(!source.was_silent);
    ctx.meta.kind.is_repeatable() && runs < ctx.meta.max_attempts
}

/// Relays the events of one upstream until its stream ends or, if it may be resumed, goes silent.
async fn relay_one(
    node: &Rc<Node>,
    ctx: &RequestContext,
    source: &mut StreamSource,
    progress: &mut RelayProgress,
    caller: &BodySender,
    may_resume: bool,
) -> StreamEnd {
    let upstream = Arc::clone(&source.upstream);
    let sent_at = source.load_guard.sent_at();
    let sent = SendIds {
        request: &ctx.meta.request,
        route: &ctx.meta.route,
        upstream: &upstream,
    };
    let mut buffered = ctx.memory.charge(Use::Streams, 0);
    loop {
        if !reserve_event(&mut buffered, source.splitter.buffered_bytes()).await {
            return StreamEnd::OutOfMemory;
        }
        let max_silence_ms = may_resume.then(|| silence_timeout_ms(ctx, !source.has_events));
        let chunk = match next_chunk(node, ctx, source, max_silence_ms).await {
            Ok(Some(chunk)) => chunk,
            Ok(None) if source.is_cut_at_start() => {
                source.send_watch.connection_lost();
                node.note_outcome(sent, Outcome::Failed);
                let reason = "the stream ended before its first event".to_owned();
                return StreamEnd::LostAtStart(reason);
            }
            Ok(None) if source.splitter.has_part() => {
                node.note_outcome(sent, Outcome::Failed);
                return StreamEnd::Broken("the stream ended within an event".to_owned());
            }
            Ok(None) => return StreamEnd::Whole,
            Err(end) => {
                if matches!(end, StreamEnd::LostAtStart(_)) {
                    source.send_watch.connection_lost();
                }
                // A silence that goes on is no further failure of the upstream.
                if !(matches!(end, StreamEnd::Silent) && source.was_silent) {
                    node.note_outcome(sent, Outcome::Failed);
                }
                return end;
            }
        };
        source.splitter.push(chunk);
        if source.splitter.buffered_bytes() > buffered.bytes() {
            buffered.resize(source.splitter.buffered_bytes());
        }
        loop {
            let event = match source.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(EventTooLong) => {
                    node.note_outcome(sent, Outcome::Failed);
                    return StreamEnd::Broken("an event is too long".to_owned());
                }
            };
            if !source.has_events {
                source.has_events = true;
                source.load_guard.mark_prompt_read();
                source.send_watch.answered();
                node.note_run(ctx);
                record_first_event(node, ctx, sent, node.now().since(sent_at));
            }
            if !relay_event(event, progress, caller).await {
                return StreamEnd::CallerLeft;
            }
        }
        buffered.resize(source.splitter.buffered_bytes());
    }
}

/// Reserves memory for the next bytes of an event of which `bytes` bytes are buffered. Waits up to
/// [`MAX_MEMORY_WAIT`] and returns false if there is still too little. Events of the usual size need
/// none.
async fn reserve_event(buffered: &mut Guard, bytes: usize) -> bool {
    if bytes <= FREE_EVENT_BYTES {
        return true;
    }
    let more = (bytes + READ_BYTES).saturating_sub(buffered.bytes());
    let until = Instant::now() + MAX_MEMORY_WAIT;
    while buffered.grow(SizeClass::Large, more).is_err() {
        if Instant::now() >= until {
            return false;
        }
        sleep(MEMORY_POLL_INTERVAL).await;
    }
    true
}

/// Records the time to the first event in the upstream's health, the metrics and the log.
fn record_first_event(node: &Node, ctx: &RequestContext, sent: SendIds<'_>, after_ms: u64) {
    #[allow(clippy::cast_precision_loss)]
    node.note_outcome(
        sent,
        Outcome::Answered {
            ms: after_ms as f64,
        },
    );
    let first_byte_ms = node.now().since(ctx.started_at);
    node.metrics
        .record_first_byte(&ctx.meta.account, &ctx.meta.route, first_byte_ms);
    node.log.event(Event::Answered {
        request: sent.request,
        upstream: sent.upstream,
        status: 200,
        first_byte_ms,
    });
}

/// Relays an event unless the caller already has it. Returns false if the caller has disconnected.
async fn relay_event(
    event: StreamEvent,
    progress: &mut RelayProgress,
    caller: &BodySender,
) -> bool {
    let is_duplicate = event
        .id
        .zip(progress.last_event)
        .is_some_and(|(id, last)| id <= last);
    if is_duplicate {
        return true;
    }
    progress.last_event = event.id.or(progress.last_event);
    progress.events += 1;
    caller.send(event.bytes).await.is_ok()
}

/// Next bytes of the stream; `None` at its end.
async fn next_chunk(
    node: &Node,
    ctx: &RequestContext,
    source: &mut StreamSource,
    max_silence_ms: Option<u64>,
) -> Result<Option<Bytes>, StreamEnd> {
    loop {
        let left_ms = ctx.left_ms(node);
        if left_ms == 0 {
            return Err(StreamEnd::TimedOut);
        }
        let limit_ms = max_silence_ms.map_or(left_ms, |max_ms| left_ms.min(max_ms));
        let next = timeout(Duration::from_millis(limit_ms), source.body.frame());
        let frame = tokio::select! {
            frame = next => frame,
            () = cut_off_if(max_silence_ms.is_some(), node, ctx) => return Err(StreamEnd::Silent),
        };
        if let Ok(frame) = &frame {
            note_frame(node, &source.upstream, frame.as_ref());
        }
        match frame {
            Err(_) if limit_ms == left_ms => return Err(StreamEnd::TimedOut),
            Err(_) => return Err(StreamEnd::Silent),
            Ok(None) => return Ok(None),
            Ok(Some(Err(err))) if !source.has_events && is_closed_by_upstream(&err) => {
                return Err(StreamEnd::LostAtStart(err.to_string()))
            }
            Ok(Some(Err(err))) => return Err(StreamEnd::Broken(err.to_string())),
            Ok(Some(Ok(frame))) => {
                // Trailers are dropped; callers are not promised any.
                if let Ok(chunk) = frame.into_data() {
                    return Ok(Some(chunk));
                }
            }
        }
    }
}

/// Longest pause in a resumable stream before it is resumed on another upstream, in milliseconds.
fn silence_timeout_ms(ctx: &RequestContext, is_first: bool) -> u64 {
    if is_first {
        return (2 * ctx.meta.aim_ms).max(MIN_SILENCE_MS);
    }
    (SILENCE_PAUSE_FACTOR * ctx.meta.pause_aim_ms).max(MIN_SILENCE_MS)
}
