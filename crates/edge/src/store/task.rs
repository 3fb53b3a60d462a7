//! The thread that speaks with the store.

use super::{
    follow, own_entry,
    verdict::{self, VerdictRecord},
    Decoder, StoreEvent, StoreOps,
};
use crate::member::MemberEntry;
use std::{
    io,
    sync::{atomic::AtomicBool, Arc},
    thread,
};
use tokio::{
    runtime,
    sync::{
        mpsc::{self, Receiver, Sender},
        watch,
    },
};
use tokio_util::sync::CancellationToken;

/// Events that may wait to be applied.
const EVENTS_RING: usize = 256;
/// States that may wait to be recorded.
const ASKS_RING: usize = 32;

/// A prefix of which all changes are followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedPrefix {
    /// Prefix.
    pub prefix: String,
    /// Its changes bind from the moment at which the store has confirmed them.
    pub is_urgent: bool,
}

/// Where things stand in the store.
#[derive(Clone, Debug)]
pub struct StoreKeys {
    /// Prefixes to follow.
    pub watched: Vec<WatchedPrefix>,
    /// Prefix of the members' entries; it is followed as well.
    pub members: String,
    /// Prefix of the states of moves.
    pub verdicts: String,
}

impl StoreKeys {
    /// All prefixes that are followed.
    pub fn all_watched(&self) -> Vec<WatchedPrefix> {
        let mut watched = self.watched.clone();
        watched.push(WatchedPrefix {
            prefix: self.members.clone(),
            is_urgent: false,
        });
        watched
    }
}

/// What the thread needs.
#[derive(Debug)]
pub struct StoreSettings {
    /// Makes the operations, on the thread's own runtime.
    pub connect: fn(std::net::SocketAddr) -> StoreOps,
    /// Address of the store.
    pub address: std::net::SocketAddr,
    /// Turns items into news.
    pub decoder: Decoder,
    /// Where things stand.
    pub keys: StoreKeys,
    /// This instance's own entry.
    pub entry: MemberEntry,
}

/// Ways to and from the thread.
#[derive(Debug)]
pub struct StoreHandle {
    /// Events in the order in which they happened.
    pub events: Receiver<StoreEvent>,
    /// States to record.
    pub record: Sender<VerdictRecord>,
    /// Whether this instance watches the store, or hears of changes from others.
    pub is_watcher: watch::Sender<bool>,
    /// Ends once the own entry was removed.
    pub thread: thread::JoinHandle<()>,
}

/// What the tasks of the thread share.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) ops: Arc<StoreOps>,
    pub(super) decoder: Decoder,
    pub(super) events: Sender<StoreEvent>,
    pub(super) is_lost: Arc<AtomicBool>,
}

/// Starts the thread. `stop` removes the own entry and ends the thread.
///
/// # Errors
///
/// Fails if no thread or runtime can be started.
pub fn start(settings: StoreSettings, stop: CancellationToken) -> io::Result<StoreHandle> {
    let (events_in, events) = mpsc::channel(EVENTS_RING);
    let (record, asked) = mpsc::channel(ASKS_RING);
    let (is_watcher, watching) = watch::channel(true);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = thread::Builder::new()
        .name("store".to_owned())
        .spawn(move || runtime.block_on(run(settings, events_in, asked, watching, stop)))?;
    Ok(StoreHandle {
        events,
        record,
        is_watcher,
        thread,
    })
}

async fn run(
    settings: StoreSettings,
    events: Sender<StoreEvent>,
    mut asked: Receiver<VerdictRecord>,
    watching: watch::Receiver<bool>,
    stop: CancellationToken,
) {
    let context = Context {
        ops: Arc::new((settings.connect)(settings.address)),
        decoder: settings.decoder,
        events,
        is_lost: Arc::new(AtomicBool::new(false)),
    };
    let watched = settings.keys.all_watched().into_iter();
    let mut followers: Vec<_> = watched
        .map(|watched| tokio::spawn(follow::follow(context.clone(), watched, watching.clone())))
        .collect();
    let recording = {
        let (context, prefix) = (context.clone(), settings.keys.verdicts.clone());
        tokio::spawn(async move {
            while let Some(wanted) = asked.recv().await {
                let key = format!("{prefix}{}", wanted.service);
                verdict::record(&context, &key, &wanted).await;
            }
        })
    };
    followers.push(recording);
    let key = format!("{}{}", settings.keys.members, settings.entry.name);
    own_entry::keep(context, key, settings.entry, stop).await;
    for follower in followers {
        follower.abort();
    }
}
