//! Output of the demo, and the sample requests that it prints and sends.

use super::{
    environment::Environment,
    fleet::{Fleet, RunningInstance},
};
use anyhow::{ensure, Context as _};
use carobwheel_core::{document::Account, id::RegionId};
use reqwest::Method;
use std::{fmt::Write as _, path::PathBuf};

/// A sample request for the demo's instances.
pub(super) struct SampleRequest {
    title: &'static str,
    method: Method,
    url: String,
    key: String,
    idempotency_key: Option<&'static str>,
    body: Option<String>,
}

impl SampleRequest {
    /// Formats the request as a `curl` command.
    fn curl_command(&self) -> String {
        let mut command = String::from("curl -sS -N");
        if self.method != Method::GET {
            let _ = write!(command, " -X {}", self.method);
        }
        if !self.key.is_empty() {
            let _ = write!(command, " -H 'authorization: Bearer {}'", self.key);
        }
        if let Some(key) = self.idempotency_key {
            let _ = write!(command, " -H 'idempotency-key: {key}'");
        }
        if let Some(body) = &self.body {
            let _ = write!(command, " -H 'content-type: application/json' -d '{body}'");
        }
        let _ = write!(command, " {}", self.url);
        command
    }
}

/// Creates the sample requests.
pub(super) fn sample_requests(environment: &Environment, fleet: &Fleet) -> Vec<SampleRequest> {
    let document = &environment.document;
    let account = &document.accounts[0];
    let url = &instance_url(fleet, account.bound_region.as_ref());
    let model = &document.models[0].id;
    let chat = |is_streamed: bool| {
        serde_json::json!({
            "model": model,
            "stream": is_streamed,
            "max_tokens": 12,
            "messages": [{"role": "user", "content": "What is on the round today?"}],
        })
        .to_string()
    };
    let action_route = document.routes.iter().find(|route| !route.idempotent);
    let action_path = action_route.map_or("/", |route| route.path.as_str());
    let sample = |title, path: &str, body| SampleRequest {
        title,
        method: Method::POST,
        url: format!("{url}{path}"),
        key: demo_key(account),
        idempotency_key: None,
        body: Some(body),
    };
    let action = |title| SampleRequest {
        idempotency_key: Some("demo-1"),
        ..sample(title, action_path, r#"{"item":"42"}"#.to_owned())
    };
    vec![
        SampleRequest {
            title: "Instances to send requests to",
            method: Method::GET,
            url: format!("{url}/v1/entry"),
            key: String::new(),
            idempotency_key: None,
            body: None,
        },
        sample("A streamed response", "/v1/chat/completions", chat(true)),
        sample(
            "A non-streaming response",
            "/v1/chat/completions",
            chat(false),
        ),
        action("An action that runs at most once"),
        action("The same action again: the first response is repeated"),
    ]
}

/// Returns the API key of an account in the example documents.
pub(super) fn demo_key(account: &Account) -> String {
    format!("demo-key-{}", account.id)
}

fn instance_url(fleet: &Fleet, region: Option<&RegionId>) -> String {
    let is_in =
        |instance: &&RunningInstance| region.is_none_or(|region| instance.region == *region);
    let instance = fleet.instances.iter().find(is_in);
    instance.map_or_else(String::new, |instance| instance.url.clone())
}

/// Formats the list of instances and the sample requests.
pub(super) fn overview(fleet: &Fleet, requests: &[SampleRequest]) -> String {
    let mut text = String::from("Instances:\n");
    for instance in &fleet.instances {
        let _ = writeln!(
            text,
            "  {:<14} {:<10} {}",
            instance.id, instance.region, instance.url
        );
    }
    text.push_str("\nTry:\n");
    for request in requests {
        let _ = writeln!(
            text,
            "  # {}\n  {}\n",
            request.title,
            request.curl_command()
        );
    }
    text
}

/// Formats the commands that start the instances as separate processes.
pub(super) fn startup_instructions(environment: &Environment, files: &[PathBuf]) -> String {
    let mut text = format!(
        "Store: {}\n\nStart the instances:\n",
        environment.store.url()
    );
    for file in files {
        let _ = writeln!(text, "  carobwheel serve --settings {}", file.display());
    }
    for account in &environment.document.accounts {
        let _ = writeln!(text, "Key of {}: {}", account.id, demo_key(account));
    }
    for upstream in &environment.document.upstreams {
        let _ = writeln!(text, "Upstream {}: {}", upstream.id, upstream.url);
    }
    text
}

/// Sends the requests and prints the responses.
pub(super) async fn send(requests: &[SampleRequest]) -> anyhow::Result<()> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    for request in requests {
        let mut builder = client.request(request.method.clone(), &request.url);
        if !request.key.is_empty() {
            builder = builder.bearer_auth(&request.key);
        }
        if let Some(key) = request.idempotency_key {
            builder = builder.header("idempotency-key", key);
        }
        if let Some(body) = &request.body {
            builder = builder
                .header("content-type", "application/json")
                .body(body.clone());
        }
        let response = builder
            .send()
            .await
            .context("no response from an instance")?;
        let status = response.status();
        let body = response
            .text()
            .await
            .context("a response ended prematurely")?;
        println!("# {}: {status}\n{}\n", request.title, body.trim_end());
        ensure!(status.is_success(), "`{}` failed", request.title);
    }
    Ok(())
}
