//! Connects one instance to the store, the live list and the directory.
//!
//! Runs on one thread with its own event loop. It reports events to the decision thread and executes
//! the [`Command`]s of the decision thread.

mod document;
mod live_list;
mod slots;
mod verdicts;

pub use document::DOCUMENT_KEY;

use crate::{
    decide,
    in_force::SharedDocument,
    ring::{AsyncReceiver, Full, Sender},
    settings::Settings,
    store::{StoreClient, StoreClientOptions},
};
use anyhow::Context as _;
use carobwheel_core::{
    id::{RegionId, RolloutId},
    rollout::Verdict,
    slot,
    time::Clock,
};
use reqwest::{redirect, retry, Client};
use std::{thread, time::Duration};
use tokio::{runtime, sync::watch, time};
use tokio_util::sync::CancellationToken;

/// Capacity of the command ring of the platform thread.
pub const COMMAND_RING_CAPACITY: usize = 256;
/// Maximum time without data on a watch before it moves to a new connection, in milliseconds.
const WATCH_IDLE_TIMEOUT_MS: u64 = 4_000;
const RING_RETRY_DELAY: Duration = Duration::from_millis(5);

/// A command of the decision thread to the platform thread.
#[derive(Debug)]
pub enum Command {
    /// Read the slot ownership record of this instance's region.
    ReadSlots,
    /// Write the slot ownership record of this instance's region, then read it back.
    WriteSlots(Box<slot::OwnershipWrite>),
    /// Write a verdict on a rollout, unless the store already has one.
    WriteVerdict {
        /// The rollout.
        rollout: RolloutId,
        /// Number of the call, returned with its answer.
        call: u32,
        /// The verdict.
        verdict: Verdict,
    },
    /// Read the verdict on a rollout.
    ReadVerdict {
        /// The rollout.
        rollout: RolloutId,
        /// Number of the call, returned with its answer.
        call: u32,
    },
    /// Start (`true`) or stop (`false`) watching the document in the store.
    WatchDocument(bool),
    /// Set the number of instances that share the store's call rates.
    SetInstances(u32),
    /// Remove this instance's entry from the directory, because the instance is leaving.
    Leave,
}

/// Creates a client of the store given in `settings`, for the process `incarnation` of this
/// instance.
///
/// # Errors
///
/// Fails if the HTTP client cannot be set up.
pub fn store_client(settings: &Settings, incarnation: u64) -> anyhow::Result<StoreClient> {
    let writer = format!("{}.{incarnation:x}", settings.instance.id);
    let options = StoreClientOptions {
        attempt_timeout_ms: settings.store.timeout_ms,
        watch_idle_timeout_ms: WATCH_IDLE_TIMEOUT_MS,
        ..StoreClientOptions::new(&settings.store.url, writer)
    };
    StoreClient::new(options).context("cannot set up the store client")
}

/// Starts the platform thread, which runs until `cancel` is cancelled.
///
/// # Errors
///
/// Fails if the thread, its event loop or its HTTP client cannot be set up.
pub fn start(
    settings: &Settings,
    clock: Clock,
    store: StoreClient,
    decide: Sender<decide::Event>,
    current: SharedDocument,
    commands: AsyncReceiver<Command>,
    cancel: CancellationToken,
) -> anyhow::Result<thread::JoinHandle<()>> {
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot set up the event loop of the platform thread")?;
    let client = Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .build()
        .context("cannot set up the HTTP client of the platform thread")?;
    let settings = settings.clone();
    thread::Builder::new()
        .name("platform".to_owned())
        .spawn(move || {
            let tasks = PlatformTasks {
                settings,
                clock,
                store,
                decide,
                current,
                client,
            };
            event_loop.block_on(async {
                tokio::select! {
                    () = tasks.run(commands) => {}
                    () = cancel.cancelled() => {}
                }
            });
        })
        .context("cannot start the platform thread")
}

struct PlatformTasks {
    settings: Settings,
    clock: Clock,
    store: StoreClient,
    decide: Sender<decide::Event>,
    /// Document in force.
    current: SharedDocument,
    client: Client,
}

impl PlatformTasks {
    async fn run(&self, commands: AsyncReceiver<Command>) {
        let leave = CancellationToken::new();
        // An instance that has no members yet watches the document itself.
        let (watching, is_watcher) = watch::channel(true);
        tokio::join!(
            document::follow(&self.store, &self.decide, &self.current, is_watcher),
            slots::follow(&self.store, self.clock, &self.decide),
            self.run_commands(commands, &leave, &watching),
            self.follow_platform(&leave),
        );
    }

    async fn follow_platform(&self, leave: &CancellationToken) {
        if let Some(platform) = &self.settings.platform {
            let url = &platform.url;
            tokio::join!(
                live_list::poll(url, &self.client, self.clock, &self.decide),
                live_list::maintain_entry(url, &self.client, &self.settings, leave),
            );
        }
    }

    async fn run_commands(
        &self,
        mut commands: AsyncReceiver<Command>,
        leave: &CancellationToken,
        watching: &watch::Sender<bool>,
    ) {
        let region: &RegionId = &self.settings.instance.region;
        loop {
            match commands.recv().await {
                Command::ReadSlots => {
                    slots::read(&self.store, self.clock, region, &self.decide).await;
                }
                Command::WriteSlots(write) => {
                    slots::write(&self.store, self.clock, region, &write, &self.decide).await;
                }
                Command::WriteVerdict {
                    rollout,
                    call,
                    verdict,
                } => {
                    let (store, decide) = (self.store.clone(), self.decide.clone());
                    let instance = self.settings.instance.id.clone();
                    let writing = verdicts::write(store, decide, instance, rollout, call, verdict);
                    tokio::spawn(writing);
                }
                Command::ReadVerdict { rollout, call } => {
                    let (store, decide) = (self.store.clone(), self.decide.clone());
                    tokio::spawn(verdicts::read(store, decide, rollout, call));
                }
                Command::WatchDocument(is_watcher) => {
                    watching.send_if_modified(|before| {
                        std::mem::replace(before, is_watcher) != is_watcher
                    });
                }
                Command::SetInstances(instances) => self.store.set_instances(instances),
                Command::Leave => leave.cancel(),
            }
        }
    }
}

/// Sends an event to the decision thread, waiting while its ring is full.
async fn report(event: decide::Event, decide: &Sender<decide::Event>) {
    let mut event = event;
    while let Err(Full(unsent)) = decide.try_send(event) {
        if decide.is_closed() {
            return;
        }
        event = unsent;
        time::sleep(RING_RETRY_DELAY).await;
    }
}
