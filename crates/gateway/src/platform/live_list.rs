//! Polls the platform's live list and keeps this instance's entry in the directory.

use super::report;
use crate::{
    decide::{self, LiveListRead},
    ring::Sender,
    settings::Settings,
};
use carobwheel_core::time::Clock;
use carobwheel_wire::platform::{DirectoryEntry, InstanceList, DIRECTORY_PATH, INSTANCES_PATH};
use reqwest::Client;
use std::time::Duration;
use tokio::time;
use tokio_util::sync::CancellationToken;

const POLL_PERIOD: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const ENTRY_LIFE_S: u64 = 15;
const RENEWAL_PERIOD: Duration = Duration::from_secs(5);

/// Polls the live list, for ever.
pub(super) async fn poll(url: &str, client: &Client, clock: Clock, decide: &Sender<decide::Event>) {
    let url = format!("{url}{INSTANCES_PATH}");
    loop {
        let began = clock.now();
        match read(&url, client).await {
            Ok(list) => {
                let read = LiveListRead { list, began };
                report(decide::Event::LiveList(Box::new(read)), decide).await;
            }
            Err(err) => log::debug!("cannot read the live list: {err}"),
        }
        time::sleep(POLL_PERIOD).await;
    }
}

async fn read(url: &str, client: &Client) -> reqwest::Result<InstanceList> {
    let response = client.get(url).timeout(CALL_TIMEOUT).send().await?;
    response.error_for_status()?.json().await
}

/// Keeps the entry in the directory until `leave` is cancelled, then takes it out.
pub(super) async fn enter(
    url: &str,
    client: &Client,
    settings: &Settings,
    leave: &CancellationToken,
) {
    let url = format!("{url}{DIRECTORY_PATH}/{}", settings.instance.id);
    let entry = DirectoryEntry {
        id: settings.instance.id.clone(),
        region: settings.instance.region.clone(),
        caller_address: settings.callers.address,
        ttl_s: ENTRY_LIFE_S,
    };
    while !leave.is_cancelled() {
        let put = client.put(&url).json(&entry).timeout(CALL_TIMEOUT);
        if let Err(err) = put.send().await {
            log::debug!("cannot renew the entry in the directory: {err}");
        }
        tokio::select! {
            () = time::sleep(RENEWAL_PERIOD) => {}
            () = leave.cancelled() => {}
        }
    }
    // The entry ends by itself if the directory does not answer now.
    let _ = client.delete(&url).timeout(CALL_TIMEOUT).send().await;
}
