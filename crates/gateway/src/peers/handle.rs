//! Starts the link thread and provides the handle to it.

use super::counters::Counters;
use super::document::ServedDocument;
use super::forward::{BodyChunk, ForwardAnswer, IncomingForward, OutgoingForward};
use super::run::{run, Command};
use super::tls::TlsConfigs;
use super::{ForwardError, PeerError, PeerSettings, PeerStats, QueueFull, TlsMaterial};
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use carobwheel_core::id::InstanceId;
use carobwheel_wire::peer::Message;
use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    thread::{self, JoinHandle},
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// An event from a peer, or the failure of a fetch from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Inbound {
    /// A message arrived.
    Message {
        /// The authenticated sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// A requested document arrived. It is not validated yet.
    Document {
        /// The peer that sent it.
        from: InstanceId,
        /// Revision of the document.
        revision: u64,
        /// The document as published.
        bytes: Bytes,
    },
    /// A requested document did not arrive.
    DocumentFailed {
        /// The peer it was requested from.
        from: InstanceId,
    },
}

/// Closures that receive inbound traffic on the link thread. Neither may block.
pub struct Sinks {
    /// Receives messages and documents. Returns false if it is full; the event is then dropped.
    pub inbound: Box<dyn FnMut(Inbound) -> bool + Send>,
    /// Receives forwarded requests. Dropping one refuses it.
    pub forward: Box<dyn FnMut(IncomingForward) + Send>,
}

/// Handle to the link thread. Clones share the thread.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    document: Arc<ArcSwapOption<ServedDocument>>,
    counters: Arc<Counters>,
    settings: Arc<PeerSettings>,
    local_addr: SocketAddr,
}

/// Starts the link thread. It ends when `cancel` is cancelled and then closes all links, so
/// requests have to be drained before.
///
/// # Errors
///
/// Fails when the TLS material is invalid or the local address cannot be bound.
pub fn start(
    settings: PeerSettings,
    sinks: Sinks,
    cancel: CancellationToken,
) -> Result<(Handle, JoinHandle<()>), PeerError> {
    let tls = TlsConfigs::new(&settings.tls, &settings.instance, &settings.versions)?;
    let socket = UdpSocket::bind(settings.listen).map_err(PeerError::Bind)?;
    let local_addr = socket.local_addr().map_err(PeerError::Bind)?;
    let (commands, queue) = mpsc::channel(settings.max_queued_commands);
    let document = Arc::new(ArcSwapOption::empty());
    let counters = Arc::new(Counters::default());
    let handle = Handle {
        commands,
        document: Arc::clone(&document),
        counters: Arc::clone(&counters),
        settings: Arc::new(settings.clone()),
        local_addr,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(PeerError::Bind)?;
    let thread = thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || {
            let ended = run(
                &runtime, settings, tls, socket, queue, sinks, document, counters, cancel,
            );
            if let Err(err) = ended {
                log::error!(err:%; "peers_failed");
            }
        })
        .map_err(PeerError::Bind)?;
    Ok((handle, thread))
}

impl Handle {
    /// Address that the link thread listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Queues a message for sending and returns at once. Delivery is not guaranteed. Without
    /// `addr` the message is sent only if a link is open.
    ///
    /// # Errors
    ///
    /// Fails when the queue is full or the thread has stopped.
    pub fn send(
        &self,
        to: InstanceId,
        addr: Option<SocketAddr>,
        message: Message,
    ) -> Result<(), QueueFull> {
        self.command(Command::Send { to, addr, message })
    }

    /// Requests a document above `above_revision` from a peer. The result is reported as
    /// [`Inbound::Document`] or [`Inbound::DocumentFailed`].
    ///
    /// # Errors
    ///
    /// Fails when the queue is full or the thread has stopped.
    pub fn fetch_document(
        &self,
        from: InstanceId,
        addr: SocketAddr,
        above_revision: u64,
    ) -> Result<(), QueueFull> {
        self.command(Command::Fetch {
            from,
            addr,
            above_revision,
        })
    }

    /// Sets the document that peers may fetch from this instance. Only the thread that applies
    /// documents may call it.
    pub fn serve_document(&self, revision: u64, bytes: Bytes) {
        let before = self.document.load_full();
        let served = ServedDocument::new(revision, bytes, before.as_deref());
        self.document.store(Some(Arc::new(served)));
    }

    /// Forwards a request to a peer and waits for the head of the answer. Dropping the future, the
    /// answer, or the sender of `body` before its end cancels the request at the peer. Works on
    /// any asynchronous runtime.
    ///
    /// # Errors
    ///
    /// [`ForwardError::is_not_sent`] says whether the peer certainly received nothing.
    pub async fn open_forward(
        &self,
        to: InstanceId,
        addr: SocketAddr,
        head: Vec<u8>,
        body: mpsc::Receiver<BodyChunk>,
    ) -> Result<ForwardAnswer, ForwardError> {
        let (answer, answered) = oneshot::channel();
        let forward = OutgoingForward {
            to,
            addr,
            head,
            body,
            answer,
        };
        self.command(Command::Forward(forward))
            .map_err(|QueueFull| ForwardError::NotSent)?;
        answered.await.unwrap_or(Err(ForwardError::Lost))
    }

    /// Replaces the certificate, private key and authorities. Open links close when their requests
    /// have ended; new links are verified against the new material.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when the material is invalid or the command queue is full.
    pub fn reload(&self, material: &TlsMaterial) -> Result<(), PeerError> {
        let settings = &self.settings;
        let tls = TlsConfigs::new(material, &settings.instance, &settings.versions)?;
        self.command(Command::Reload(Box::new(tls)))
            .map_err(|QueueFull| PeerError::Busy)
    }

    /// Returns the link counters since the start of the process.
    pub fn stats(&self) -> PeerStats {
        self.counters.stats()
    }

    fn command(&self, command: Command) -> Result<(), QueueFull> {
        self.commands.try_send(command).map_err(|_| QueueFull)
    }
}
