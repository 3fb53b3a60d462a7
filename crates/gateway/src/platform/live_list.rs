//! Polls the platform's live list and maintains this instance's entry in the directory.

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

const POLL_INTERVAL: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const ENTRY_TTL_S: u64 = 15;
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Polls the live list and reports it; never returns.
pub(super) async fn poll(url: &str, client: &Client, clock: Clock, decide: &Sender<decide::Event>) {
    let url = format!("{url}{INSTANCES_PATH}");
    loop {
        let began = clock.now();
        match read(&url, client).await {
            Ok(list) => {
                let read = LiveListRead { list, began };
                report(decide::Event::LiveList(Box::new(read)), decide).await;
            }
            Err(err) => log::debug!("cannot read the live list of the platform: {err}"),
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn read(url: &str, client: &Client) -> reqwest::Result<InstanceList> {
    let response = client.get(url).timeout(CALL_TIMEOUT).send().await?;
    response.error_for_status()?.json().await
}

/// Renews the entry in the directory until `leave` is cancelled, then removes it.
pub(super) async fn maintain_entry(
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
        ttl_s: ENTRY_TTL_S,
    };
    while !leave.is_cancelled() {
        let put = client.put(&url).json(&entry).timeout(CALL_TIMEOUT);
        if let Err(err) = put.send().await {
            log::debug!("cannot renew the directory entry: {err}");
        }
        tokio::select! {
            () = time::sleep(RENEWAL_INTERVAL) => {}
            () = leave.cancelled() => {}
        }
    }
    // If the directory does not answer, the entry expires by itself.
    let _ = client.delete(&url).timeout(CALL_TIMEOUT).send().await;
}
