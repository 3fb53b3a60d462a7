//! Thread that makes all calls to the store.

use super::{
    follow, own_entry,
    reach::{LostAnswers, Reach},
    verdict::{self, VerdictRecord},
    Decoder, StoreEvent, StoreOps,
};
use crate::member::MemberEntry;
use futures::future::BoxFuture;
use std::{fmt, future::Future, io, net::SocketAddr, sync::Arc, thread, time::Duration};
use tokio::{
    runtime,
    sync::{
        mpsc::{self, Receiver, Sender},
        watch,
    },
    task::JoinSet,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Capacity of the event channel.
const EVENTS_CAPACITY: usize = 256;
/// Capacity of the channel of verdicts to record.
const RECORDS_CAPACITY: usize = 32;

/// Capacity of the channel of further tasks.
const TASKS_CAPACITY: usize = 32;
/// Time for further tasks to end after the signal to stop. A call to the control address may be open for
/// 2.5 s, and its holder revokes its lease afterwards.
const TASKS_END_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Key prefix whose changes are watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedPrefix {
    /// Common prefix of the keys.
    pub prefix: String,
    /// Whether its changes are in force from the moment at which the store has confirmed them.
    pub is_urgent: bool,
}

/// Key prefixes of the deployment's store.
#[derive(Clone, Debug)]
pub struct StoreKeys {
    /// Prefixes to watch besides the instances' entries; the first holds the configuration.
    pub watched: Vec<WatchedPrefix>,
    /// Prefix of the instances' entries, which is watched as well.
    pub members: String,
    /// Prefix of the verdicts on rollouts.
    pub verdicts: String,
}

impl StoreKeys {
    /// All prefixes to watch.
    pub fn all_watched(&self) -> Vec<WatchedPrefix> {
        let mut watched = self.watched.clone();
        watched.push(WatchedPrefix {
            prefix: self.members.clone(),
            is_urgent: false,
        });
        watched
    }
}

/// Settings of the store's client.
pub struct StoreSettings {
    /// Constructor of the operations; called on the client's runtime.
    pub connect: Box<dyn FnOnce(SocketAddr) -> StoreOps + Send>,
    /// Address of the store.
    pub address: SocketAddr,
    /// Decoder of the adapter.
    pub decoder: Decoder,
    /// Key prefixes.
    pub keys: StoreKeys,
    /// Entry of this instance.
    pub entry: MemberEntry,
}

/// Channels to and from the store's client.
#[derive(Debug)]
pub struct StoreHandle {
    /// Events, in the order in which they occurred.
    pub events: Receiver<StoreEvent>,
    /// Verdicts to record.
    pub record: Sender<VerdictRecord>,
    /// Further tasks to run on the store's thread.
    pub tasks: Sender<StoreTask>,
    /// Whether this instance watches the store itself, or receives changes from other instances.
    pub is_watcher: watch::Sender<bool>,
}

/// Task for the store's thread.
pub type StoreTask = Box<dyn FnOnce(StoreAccess) -> BoxFuture<'static, ()> + Send>;

/// The store as further tasks on its thread use it.
#[derive(Clone)]
pub struct StoreAccess {
    /// Operations of the store.
    pub ops: Arc<StoreOps>,
    /// Cancelled when the instance stops.
    pub stop: CancellationToken,
    reach: Arc<Reach>,
}

impl StoreAccess {
    /// Subscribes to lost answers.
    pub(crate) fn lost_answers(&self) -> LostAnswers {
        self.reach.lost_answers()
    }
}

impl fmt::Debug for StoreAccess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StoreAccess")
    }
}

/// State shared by the tasks of the store's client.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) ops: Arc<StoreOps>,
    pub(super) decoder: Decoder,
    pub(super) events: Sender<StoreEvent>,
    pub(super) reach: Arc<Reach>,
}

/// Starts the store's client on a thread of its own. `stop` makes it remove this instance's entry
/// and end.
///
/// # Errors
///
/// Fails if no thread or runtime can be started.
pub fn start(settings: StoreSettings, stop: CancellationToken) -> io::Result<StoreHandle> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (handle, client) = client(settings, stop);
    thread::Builder::new()
        .name("store".to_owned())
        .spawn(move || runtime.block_on(client))?;
    Ok(handle)
}

/// Creates the store's client as a future that makes all calls. It ends once this instance's entry
/// was removed after `stop`.
pub fn client(
    settings: StoreSettings,
    stop: CancellationToken,
) -> (StoreHandle, impl Future<Output = ()> + Send) {
    let (events_in, events) = mpsc::channel(EVENTS_CAPACITY);
    let (record, to_record) = mpsc::channel(RECORDS_CAPACITY);
    let (tasks, to_run) = mpsc::channel(TASKS_CAPACITY);
    let (is_watcher, watcher_rx) = watch::channel(true);
    let handle = StoreHandle {
        events,
        record,
        tasks,
        is_watcher,
    };
    let queues = Queues {
        to_record,
        to_run,
        watcher_rx,
    };
    (handle, run(settings, events_in, queues, stop))
}

/// Ends of the channels to the client.
struct Queues {
    to_record: Receiver<VerdictRecord>,
    to_run: Receiver<StoreTask>,
    watcher_rx: watch::Receiver<bool>,
}

async fn run(
    settings: StoreSettings,
    events: Sender<StoreEvent>,
    queues: Queues,
    stop: CancellationToken,
) {
    let context = Context {
        ops: Arc::new((settings.connect)(settings.address)),
        decoder: settings.decoder,
        events,
        reach: Arc::default(),
    };
    let Queues {
        mut to_record,
        to_run,
        watcher_rx,
    } = queues;
    let access = StoreAccess {
        ops: Arc::clone(&context.ops),
        stop: stop.clone(),
        reach: Arc::clone(&context.reach),
    };
    let further = tokio::spawn(run_tasks(access, to_run));
    let watched = settings.keys.all_watched().into_iter();
    let mut tasks: Vec<_> = watched
        .map(|watched| tokio::spawn(follow::follow(context.clone(), watched, watcher_rx.clone())))
        .collect();
    let recording = {
        let (context, prefix) = (context.clone(), settings.keys.verdicts.clone());
        tokio::spawn(async move {
            while let Some(wanted) = to_record.recv().await {
                let key = format!("{prefix}{}", wanted.service);
                verdict::record(&context, &key, &wanted).await;
            }
        })
    };
    tasks.push(recording);
    let key = format!("{}{}", settings.keys.members, settings.entry.name);
    own_entry::register(context, key, settings.entry, stop).await;
    for task in tasks {
        task.abort();
    }
    let abort = further.abort_handle();
    if timeout(TASKS_END_TIMEOUT, further).await.is_err() {
        abort.abort();
    }
}

/// Runs further tasks. Ends after the signal to stop, once all of them have ended.
async fn run_tasks(access: StoreAccess, mut to_run: Receiver<StoreTask>) {
    let mut running = JoinSet::new();
    let stop = access.stop.clone();
    loop {
        tokio::select! {
            task = to_run.recv() => match task {
                Some(task) => drop(running.spawn(task(access.clone()))),
                None => break,
            },
            Some(_) = running.join_next() => {}
            () = stop.cancelled(), if running.is_empty() => break,
        }
    }
    while running.join_next().await.is_some() {}
}
