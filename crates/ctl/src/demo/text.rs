//! What the demonstration prints, and the requests that it sends itself.

use super::{
    environment::Stage,
    fleet::{Fleet, Member},
};
use anyhow::{ensure, Context as _};
use carobwheel_core::{document::Account, id::RegionId};
use reqwest::Method;
use std::{fmt::Write as _, path::PathBuf};

/// A request to try.
pub(super) struct Sample {
    title: &'static str,
    method: Method,
    url: String,
    key: String,
    idempotency_key: Option<&'static str>,
    body: Option<String>,
}

impl Sample {
    /// The request as a `curl` command.
    fn command(&self) -> String {
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

/// Requests to try.
pub(super) fn requests(stage: &Stage, fleet: &Fleet) -> Vec<Sample> {
    let document = &stage.document;
    let account = &document.accounts[0];
    let url = &url_in(fleet, account.bound_region.as_ref());
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
    let action = document.routes.iter().find(|route| !route.idempotent);
    let path = action.map_or("/", |route| route.path.as_str());
    let sample = |title, path: &str, body| Sample {
        title,
        method: Method::POST,
        url: format!("{url}{path}"),
        key: demo_key(account),
        idempotency_key: None,
        body: Some(body),
    };
    let confirm = |title| Sample {
        idempotency_key: Some("demo-1"),
        ..sample(title, path, r#"{"item":"42"}"#.to_owned())
    };
    vec![
        Sample {
            title: "Which instances to use",
            method: Method::GET,
            url: format!("{url}/v1/entry"),
            key: String::new(),
            idempotency_key: None,
            body: None,
        },
        sample("A streamed answer", "/v1/chat/completions", chat(true)),
        sample("A whole answer", "/v1/chat/completions", chat(false)),
        confirm("A record that is made at most once"),
        confirm("The same record again: the first answer comes back"),
    ]
}

/// Key of an account in the shipped examples.
pub(super) fn demo_key(account: &Account) -> String {
    format!("demo-key-{}", account.id)
}

fn url_in(fleet: &Fleet, region: Option<&RegionId>) -> String {
    let is_in = |member: &&Member| region.is_none_or(|region| member.region == *region);
    let member = fleet.members.iter().find(is_in);
    member.map_or_else(String::new, |member| member.url.clone())
}

/// Introduces the fleet and the requests.
pub(super) fn welcome(fleet: &Fleet, requests: &[Sample]) -> String {
    let mut text = String::from("Instances:\n");
    for member in &fleet.members {
        let _ = writeln!(
            text,
            "  {:<14} {:<10} {}",
            member.id, member.region, member.url
        );
    }
    text.push_str("\nTry:\n");
    for request in requests {
        let _ = writeln!(text, "  # {}\n  {}\n", request.title, request.command());
    }
    text
}

/// Tells how to run instances as processes of their own.
pub(super) fn settings(stage: &Stage, files: &[PathBuf]) -> String {
    let mut text = format!("Store: {}\n\nStart the instances:\n", stage.store.url());
    for file in files {
        let _ = writeln!(text, "  carobwheel serve --settings {}", file.display());
    }
    for account in &stage.document.accounts {
        let _ = writeln!(text, "Key of {}: {}", account.id, demo_key(account));
    }
    for upstream in &stage.document.upstreams {
        let _ = writeln!(text, "Upstream {}: {}", upstream.id, upstream.url);
    }
    text
}

/// Sends the requests and prints the answers.
pub(super) async fn send(requests: &[Sample]) -> anyhow::Result<()> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    for request in requests {
        let mut call = client.request(request.method.clone(), &request.url);
        if !request.key.is_empty() {
            call = call.bearer_auth(&request.key);
        }
        if let Some(key) = request.idempotency_key {
            call = call.header("idempotency-key", key);
        }
        if let Some(body) = &request.body {
            call = call
                .header("content-type", "application/json")
                .body(body.clone());
        }
        let response = call.send().await.context("an instance does not answer")?;
        let status = response.status();
        let body = response.text().await.context("an answer broke off")?;
        println!("# {}: {status}\n{}\n", request.title, body.trim_end());
        ensure!(status.is_success(), "`{}` failed", request.title);
    }
    Ok(())
}
