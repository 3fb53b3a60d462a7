//! The instances of the demonstration, as threads of this process.

use super::environment::Stage;
use anyhow::Context as _;
use carobwheel_core::id::{InstanceId, RegionId};
use carobwheel_gateway::daemon::{self, Daemon};
use std::time::Duration;
use tokio::time;

const READY_POLL: Duration = Duration::from_millis(20);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// One running instance.
pub(super) struct Member {
    pub(super) id: InstanceId,
    pub(super) region: RegionId,
    pub(super) url: String,
    daemon: Daemon,
}

/// All running instances.
pub(super) struct Fleet {
    pub(super) members: Vec<Member>,
}

impl Fleet {
    /// Starts every instance of the deployment.
    pub(super) fn start(stage: &Stage) -> anyhow::Result<Self> {
        let mut members = Vec::new();
        for settings in stage.settings()? {
            let tls = stage.tls(&settings.instance.id)?;
            let daemon = daemon::start(&settings, Some(tls))
                .with_context(|| format!("cannot start {}", settings.instance.id))?;
            members.push(Member {
                id: settings.instance.id,
                region: settings.instance.region,
                url: format!("http://{}", daemon.address()),
                daemon,
            });
        }
        Ok(Self { members })
    }

    /// Waits until every instance is ready.
    pub(super) async fn ready(&self) -> anyhow::Result<()> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let all = async {
            for member in &self.members {
                let url = format!("{}/readyz", member.url);
                while !is_ok(&client, &url).await {
                    time::sleep(READY_POLL).await;
                }
            }
        };
        time::timeout(READY_TIMEOUT, all)
            .await
            .context("an instance is not ready after 20 s")
    }

    /// Stops every instance.
    pub(super) fn stop(self) {
        for member in self.members {
            let cut = member.daemon.stop();
            if cut > 0 {
                eprintln!("{}: {cut} requests were cut", member.id);
            }
        }
    }
}

async fn is_ok(client: &reqwest::Client, url: &str) -> bool {
    match client.get(url).send().await {
        Ok(response) => response.status().is_success(),
        Err(_) => false,
    }
}
