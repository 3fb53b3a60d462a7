//! Instances of the demo, run as threads of this process.

use super::{environment::Environment, ports::start_on_free_ports};
use anyhow::Context as _;
use carobwheel_core::id::{InstanceId, RegionId};
use carobwheel_gateway::daemon::{self, Daemon};
use std::time::Duration;
use tokio::time;

const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// One running instance.
pub(super) struct RunningInstance {
    pub(super) id: InstanceId,
    pub(super) region: RegionId,
    pub(super) url: String,
    daemon: Daemon,
}

/// All running instances of the demo.
pub(super) struct Fleet {
    pub(super) instances: Vec<RunningInstance>,
}

impl Fleet {
    /// Starts all instances of the deployment.
    pub(super) fn start(environment: &Environment) -> anyhow::Result<Self> {
        let mut instances = Vec::new();
        for mut settings in environment.register_instances()? {
            let id = settings.instance.id.clone();
            let daemon = start_on_free_ports(
                &mut settings,
                |settings| daemon::start(settings, Some(environment.tls(&id)?)),
                |settings| environment.choose_ports(settings),
            )
            .with_context(|| format!("cannot start {id}"))?;
            instances.push(RunningInstance {
                id: settings.instance.id,
                region: settings.instance.region,
                url: format!("http://{}", daemon.address()),
                daemon,
            });
        }
        Ok(Self { instances })
    }

    /// Waits until all instances are ready.
    pub(super) async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let all = async {
            for instance in &self.instances {
                let url = format!("{}/readyz", instance.url);
                while !responds_ok(&client, &url).await {
                    time::sleep(READY_POLL_INTERVAL).await;
                }
            }
        };
        time::timeout(READY_TIMEOUT, all)
            .await
            .context("an instance is not ready after 20 s")
    }

    /// Stops all instances.
    pub(super) fn stop(self) {
        for instance in self.instances {
            let aborted = instance.daemon.stop();
            if aborted > 0 {
                eprintln!("{}: {aborted} requests were aborted", instance.id);
            }
        }
    }
}

async fn responds_ok(client: &reqwest::Client, url: &str) -> bool {
    match client.get(url).send().await {
        Ok(response) => response.status().is_success(),
        Err(_) => false,
    }
}
