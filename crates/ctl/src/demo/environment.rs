//! Environment of the demo's instances: stand-ins for the platform and the upstreams.

use super::{
    ports::{free_tcp_port, free_udp_port, LOOPBACK},
    Deployment,
};
use anyhow::{anyhow, Context as _};
use carobwheel_core::{
    document::{Document, Region, Serves},
    id::{DataCentreId, InstanceId, UpstreamId},
};
use carobwheel_gateway::{
    peers::TlsMaterial,
    platform::DOCUMENT_KEY,
    settings::{CallerLimits, Callers, Identity, Peers, Platform, Settings, Shutdown, Store},
};
use carobwheel_standin::{engine, livelist, service, store, tls::CertificateAuthority};
use carobwheel_wire::platform::{InstanceState, LiveInstance};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// Number of instances in each region.
const INSTANCES_PER_REGION: usize = 2;
/// Timeout for requests in flight at shutdown.
const DRAIN_TIMEOUT_MS: u64 = 5_000;

/// Stand-ins of one deployment, and its document with their addresses filled in.
pub(super) struct Environment {
    pub(super) document: Document,
    pub(super) store: store::Store,
    pub(super) live_list: livelist::LiveList,
    authority: CertificateAuthority,
    credentials: BTreeMap<UpstreamId, String>,
    engines: Vec<engine::Engine>,
    _services: Vec<service::Service>,
}

impl Environment {
    /// Starts the stand-ins and publishes the document.
    pub(super) fn start(deployment: Deployment, token_ms: u64) -> anyhow::Result<Self> {
        let mut document = Document::parse(deployment.document().as_bytes())
            .map_err(|faults| anyhow!("the example document is invalid: {faults:?}"))?;
        let store = store::start(&store::StoreOptions::default())?;
        let live_list = livelist::start(livelist::LiveListOptions::default())?;
        let mut engines = Vec::new();
        let mut services = Vec::new();
        let mut credentials = BTreeMap::new();
        for upstream in &mut document.upstreams {
            let credential = format!("upstream-{}", upstream.id);
            upstream.url = match &upstream.serves {
                Serves::Engine { .. } => {
                    let engine =
                        engine::start(engine_options(&upstream.serves, &credential, token_ms))?;
                    let url = engine.url();
                    engines.push(engine);
                    url
                }
                Serves::Service { deduplicates, .. } => {
                    let service = service::start(service::ServiceOptions {
                        credential: Some(credential.clone()),
                        deduplicates: *deduplicates,
                        ..service::ServiceOptions::default()
                    })?;
                    let url = service.url();
                    services.push(service);
                    url
                }
            };
            credentials.insert(upstream.id.clone(), credential);
        }
        store.set_value(DOCUMENT_KEY, &serde_json::to_vec_pretty(&document)?);
        Ok(Self {
            document,
            store,
            live_list,
            authority: CertificateAuthority::new("carobwheel demo")?,
            credentials,
            engines,
            _services: services,
        })
    }

    /// Makes the engines crash on prompts with `text`. Returns their base URLs.
    pub(super) fn crash_engines_on(&self, text: &str, down_ms: u64) -> Vec<String> {
        let crash = |engine: &engine::Engine| {
            engine.set_prompt_crash(Some(engine::PromptCrash {
                text: text.to_owned(),
                down_ms,
                sends_head: false,
            }));
            engine.url()
        };
        self.engines.iter().map(crash).collect()
    }

    /// Creates the settings of all instances, two in each region and in different data centres, and
    /// adds the instances to the live list.
    pub(super) fn register_instances(&self) -> anyhow::Result<Vec<Settings>> {
        let mut all_settings = Vec::new();
        for region in &self.document.regions {
            for index in 0..INSTANCES_PER_REGION {
                let settings = self.instance_settings(region, index)?;
                self.add_to_live_list(&settings);
                all_settings.push(settings);
            }
        }
        Ok(all_settings)
    }

    /// Chooses other ports for an instance, and replaces it in the live list.
    pub(super) fn choose_ports(&self, settings: &mut Settings) -> anyhow::Result<()> {
        settings.callers.address.set_port(free_tcp_port()?);
        if let Some(operators) = &mut settings.operators_address {
            operators.set_port(free_tcp_port()?);
        }
        if let Some(peers) = &mut settings.peers {
            peers.address.set_port(free_udp_port()?);
        }
        self.add_to_live_list(settings);
        Ok(())
    }

    fn add_to_live_list(&self, settings: &Settings) {
        let Some(peers) = &settings.peers else {
            return;
        };
        self.live_list.add(LiveInstance {
            id: settings.instance.id.clone(),
            region: settings.instance.region.clone(),
            data_centre: settings.instance.data_centre.clone(),
            peer_address: peers.address,
            caller_address: settings.callers.address,
            state: InstanceState::Live,
            incarnation: None,
        });
    }

    /// Issues the certificate and key of an instance.
    pub(super) fn tls(&self, id: &InstanceId) -> anyhow::Result<TlsMaterial> {
        let pem = self.authority.issue(id.as_str())?;
        Ok(TlsMaterial {
            cert_pem: pem.cert_pem,
            key_pem: pem.key_pem,
            ca_pem: pem.ca_pem,
        })
    }

    fn instance_settings(&self, region: &Region, index: usize) -> anyhow::Result<Settings> {
        let id: InstanceId = format!("{}-{}", region.id, index + 1).parse()?;
        let data_centres = &region.data_centres;
        let data_centre: DataCentreId = data_centres[index % data_centres.len()].clone();
        let address = SocketAddr::from((LOOPBACK, free_tcp_port()?));
        Ok(Settings {
            instance: Identity {
                id: id.clone(),
                region: region.id.clone(),
                data_centre,
            },
            memory_mb: None,
            descriptors: None,
            callers: Callers {
                address,
                threads: 2,
                max_requests: 4_096,
                max_body_bytes_held: 256 * 1_024 * 1_024,
                body_timeout_ms: 60_000,
                limits: CallerLimits::default(),
            },
            operators_address: Some(SocketAddr::from((LOOPBACK, free_tcp_port()?))),
            peers: Some(Peers {
                address: SocketAddr::from((LOOPBACK, free_udp_port()?)),
                advertised_address: None,
                ca_pem_file: format!("{id}.ca.pem"),
                certificate_pem_file: format!("{id}.cert.pem"),
                key_pem_file: format!("{id}.key.pem"),
            }),
            store: Store {
                url: self.store.url(),
                timeout_ms: 1_000,
            },
            platform: Some(Platform {
                url: self.live_list.url(),
            }),
            upstream_credentials: self.credentials.clone(),
            metrics: None,
            shutdown: Shutdown {
                announce_ms: 0,
                drain_ms: DRAIN_TIMEOUT_MS,
            },
            log_level: "info".to_owned(),
        })
    }

    /// Writes the settings, certificates and keys of all instances into `folder`, and returns the
    /// settings files.
    pub(super) fn write_settings(&self, folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
        std::fs::create_dir_all(folder)
            .with_context(|| format!("cannot create {}", folder.display()))?;
        let mut files = Vec::new();
        for mut settings in self.register_instances()? {
            self.write_tls(&mut settings, folder)?;
            let file = folder.join(format!("{}.json", settings.instance.id));
            write_file(&file, &format!("{:#}\n", serde_json::to_value(&settings)?))?;
            files.push(file);
        }
        Ok(files)
    }

    fn write_tls(&self, settings: &mut Settings, folder: &Path) -> anyhow::Result<()> {
        let tls = self.tls(&settings.instance.id)?;
        let Some(peers) = &mut settings.peers else {
            return Ok(());
        };
        peers.ca_pem_file = write_file(&folder.join(&peers.ca_pem_file), &tls.ca_pem)?;
        peers.certificate_pem_file =
            write_file(&folder.join(&peers.certificate_pem_file), &tls.cert_pem)?;
        peers.key_pem_file = write_file(&folder.join(&peers.key_pem_file), &tls.key_pem)?;
        Ok(())
    }
}

fn write_file(file: &Path, text: &str) -> anyhow::Result<String> {
    std::fs::write(file, text).with_context(|| format!("cannot write {}", file.display()))?;
    Ok(file.display().to_string())
}

fn engine_options(serves: &Serves, credential: &str, token_ms: u64) -> engine::EngineOptions {
    let mut options = engine::EngineOptions {
        credential: Some(credential.to_owned()),
        token_ms,
        ..engine::EngineOptions::default()
    };
    if let Serves::Engine {
        model,
        version,
        batch_slots,
        prefill_tokens_per_s,
        ..
    } = serves
    {
        options.model = model.to_string();
        options.version = version.to_string();
        options.batch_slots = *batch_slots;
        options.prefill_tokens_per_s = *prefill_tokens_per_s;
    }
    options
}
