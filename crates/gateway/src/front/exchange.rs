//! One request and its answer, between hyper and Rocket.

use super::{activity::Activity, request_body::IncomingBody};
use bytes::{Bytes, BytesMut};
use futures::{stream, Stream};
use http_body_util::StreamBody;
use hyper::{
    body::{Frame, Incoming},
    header::CONTENT_LENGTH,
    http::request::Parts,
    Request, Response,
};
use rocket::{
    http::{uri::Origin, Header, Method},
    local::asynchronous::{Client, LocalRequest, LocalResponse},
};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use tokio::{
    io::AsyncReadExt as _,
    sync::{mpsc, oneshot},
};

/// Size of the parts in which an answer is written, in bytes.
const PART_BYTES: usize = 16 * 1_024;
/// URI that Rocket rejects; stands for a request that hyper accepts and Rocket does not.
const INVALID_URI: &str = "invalid";

/// Receiver of the parts of an answer.
type PartReceiver = mpsc::Receiver<io::Result<Frame<Bytes>>>;
type BoxedParts = stream::BoxStream<'static, io::Result<Frame<Bytes>>>;

/// Body of an answer as hyper sends it.
pub(super) type AnswerBody = StreamBody<BoxedParts>;

/// Returns the address of the caller that sent `request`.
pub(crate) fn remote_address(request: &rocket::Request<'_>) -> Option<IpAddr> {
    request.remote().map(|remote| remote.ip())
}

/// Has Rocket answer `request`. The handler runs in a task of its own, so that it can end what it
/// has begun when the connection closes.
pub(super) async fn answer(
    client: Arc<Client>,
    remote: SocketAddr,
    request: Request<Incoming>,
    activity: Arc<Activity>,
) -> io::Result<Response<AnswerBody>> {
    activity.begin_request();
    let (reply, answered) = oneshot::channel();
    tokio::spawn(run(client, remote, request, reply));
    let (head, parts) = answered.await.map_err(|_| broken())?;
    let parts: BoxedParts = Box::pin(body_stream(parts, activity));
    Ok(head.map(|()| StreamBody::new(parts)))
}

fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::BrokenPipe, "the request has no answer")
}

/// Returns the parts of an answer as a stream that records its end.
fn body_stream(
    parts: PartReceiver,
    activity: Arc<Activity>,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
    let end = EndOfAnswer(activity);
    stream::unfold((parts, end), |(mut parts, end)| async move {
        let part = parts.recv().await?;
        Some((part, (parts, end)))
    })
}

/// Records the end of an answer when it is dropped: hyper drops a body that it has sent.
struct EndOfAnswer(Arc<Activity>);

impl Drop for EndOfAnswer {
    fn drop(&mut self) {
        self.0.end_answer();
    }
}

/// Has Rocket answer the request, and sends the head and then the body of its answer.
async fn run(
    client: Arc<Client>,
    remote: SocketAddr,
    request: Request<Incoming>,
    reply: oneshot::Sender<(Response<()>, PartReceiver)>,
) {
    let (head, body) = request.into_parts();
    let request = local_request(&client, remote, &head);
    IncomingBody::attach(request.inner(), body);
    let mut response = request.dispatch().await;
    let Some(head) = head_of(&response) else {
        return;
    };
    let (sender, parts) = mpsc::channel(1);
    if reply.send((head, parts)).is_ok() {
        send_body(&mut response, &sender).await;
    }
}

/// Returns the request in Rocket's form, without its body.
fn local_request<'c>(client: &'c Client, remote: SocketAddr, head: &'c Parts) -> LocalRequest<'c> {
    let method = head.method.as_str().parse::<Method>();
    let target = head.uri.path_and_query();
    let mut request = match (method, target) {
        (Ok(method), Some(target)) => {
            client.req(method, Origin::new(target.path(), target.query()))
        }
        _ => client.req(Method::Get, INVALID_URI),
    };
    request.set_remote(remote);
    for (name, value) in &head.headers {
        // Rocket supports headers in UTF-8 only and leaves out others.
        if let Ok(value) = std::str::from_utf8(value.as_bytes()) {
            request.add_header(Header::new(name.as_str().to_owned(), value.to_owned()));
        }
    }
    request
}

/// Returns the head of Rocket's answer; `None` if hyper does not accept it.
fn head_of(response: &LocalResponse<'_>) -> Option<Response<()>> {
    let mut head = Response::builder().status(response.status().code);
    for header in response.headers().iter() {
        head = head.header(header.name.as_str(), header.value.as_bytes());
    }
    let has_length = response.headers().contains(CONTENT_LENGTH.as_str());
    if let (false, Some(bytes)) = (has_length, response.body().preset_size()) {
        head = head.header(CONTENT_LENGTH, bytes);
    }
    head.body(()).ok()
}

/// Sends the body of Rocket's answer in parts, until its end or until nobody receives them.
async fn send_body(
    response: &mut LocalResponse<'_>,
    parts: &mpsc::Sender<io::Result<Frame<Bytes>>>,
) {
    loop {
        let mut part = BytesMut::with_capacity(PART_BYTES);
        let frame = match response.read_buf(&mut part).await {
            Ok(0) => return,
            Ok(_) => Ok(Frame::data(part.freeze())),
            Err(err) => Err(err),
        };
        let is_last = frame.is_err();
        if parts.send(frame).await.is_err() || is_last {
            return;
        }
    }
}
