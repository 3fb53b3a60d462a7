//! What the rest of the program holds of the thread of the links.

use super::counters::Counters;
use super::document::Served;
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

/// Something that arrived from a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Inbound {
    /// A message.
    Message {
        /// The authenticated sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// A document that was asked for. It still has to be validated.
    Document {
        /// The peer that had it.
        from: InstanceId,
        /// Revision of the document.
        revision: u64,
        /// The document as published.
        bytes: Bytes,
    },
    /// A document that was asked for did not arrive.
    DocumentFailed {
        /// The peer that was asked.
        from: InstanceId,
    },
}

/// Where the thread puts what arrives. Neither closure may block.
pub struct Sinks {
    /// Takes a message; returns false if there is no room, and the message is dropped.
    pub inbound: Box<dyn FnMut(Inbound) -> bool + Send>,
    /// Takes a forwarded request; dropping it refuses the request.
    pub forward: Box<dyn FnMut(IncomingForward) + Send>,
}

/// The running links. Clones share the same thread.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    document: Arc<ArcSwapOption<Served>>,
    counters: Arc<Counters>,
    settings: Arc<PeerSettings>,
    local_addr: SocketAddr,
}

/// Starts the thread of the links. It ends when `cancel` is cancelled: links are closed then, so
/// requests have to be drained before.
///
/// # Errors
///
/// Fails when the certificate, key, authorities or local address cannot be used.
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
    /// Address that the thread listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Sends a message without waiting. It may get lost on the way, like any datagram. Without
    /// `addr` it goes only over a link that exists.
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

    /// Asks a peer for a document above `above_revision`. [`Inbound::Document`] or
    /// [`Inbound::DocumentFailed`] follows.
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

    /// Sets the document that peers may fetch from here. Only the thread that applies documents
    /// may call it.
    pub fn serve_document(&self, revision: u64, bytes: Bytes) {
        let before = self.document.load_full();
        let served = Served::new(revision, bytes, before.as_deref());
        self.document.store(Some(Arc::new(served)));
    }

    /// Forwards a request to a peer and waits for the head of the answer. Dropping the future, the
    /// sender of `body` before its end, or the answer cancels the request at the peer. Runs on any
    /// asynchronous runtime.
    ///
    /// # Errors
    ///
    /// [`ForwardError::is_not_sent`] tells whether the peer may have seen the request.
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

    /// Uses another certificate, key or set of authorities from now on. Present links end when
    /// their requests have ended; new ones are verified by the new material.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when the material cannot be used.
    pub fn reload(&self, material: &TlsMaterial) -> Result<(), PeerError> {
        let settings = &self.settings;
        let tls = TlsConfigs::new(material, &settings.instance, &settings.versions)?;
        self.command(Command::Reload(Box::new(tls)))
            .map_err(|QueueFull| PeerError::Busy)
    }

    /// Counters since the start.
    pub fn stats(&self) -> PeerStats {
        self.counters.stats()
    }

    fn command(&self, command: Command) -> Result<(), QueueFull> {
        self.commands.try_send(command).map_err(|_| QueueFull)
    }
}
