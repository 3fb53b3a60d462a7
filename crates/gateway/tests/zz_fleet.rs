#![allow(clippy::unwrap_used)]
mod platform_support;
use platform_support::*;
use serde_json::json;
use std::{
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

fn cpu_ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let rest = text.rsplit(')').next().unwrap();
    let f: Vec<&str> = rest.split_whitespace().collect();
    f[11].parse::<u64>().unwrap() + f[12].parse::<u64>().unwrap()
}

#[test]
fn fleet() {
    let n: usize = std::env::var("N").map_or(30, |t| t.parse().unwrap());
    let engines_per: usize = std::env::var("E").map_or(70, |t| t.parse().unwrap());
    let rate: f64 = std::env::var("RATE").map_or(15.0, |t| t.parse().unwrap());
    let store = Store::start();
    let resumable = json!({"resumable": true, "timeoutMs": 5_000});
    store.publish(&ConfigBuilder::new(1).account(json!({"name": "valuers", "apiKeys": [KEY], "plainTokens": 200, "ratePerS": 100_000_000, "burst": 100_000_000})).route("/brief/", "streaming", "model", 3, resumable));
    let mut engines = Vec::new();
    for region in ["north", "south"] {
        for i in 0..engines_per {
            let e = Engine::start(&format!("i-{region}{i}"));
            e.register(&store, "model", &format!("{region}-a"), "ready");
            engines.push(e);
        }
    }
    let mut instances = Vec::new();
    for region in ["north", "south"] {
        for i in 0..n {
            let name: &'static str = Box::leak(format!("{region}-{}", i + 1).into_boxed_str());
            instances.push(Instance::start(&InstanceOptions {
                name,
                region,
                store: store.address,
            }));
        }
    }
    let t0 = Instant::now();
    for inst in &instances {
        let heard = format!("carobwheel_instances_heard {}\n", instances.len());
        wait_until("listens", || {
            std::net::TcpStream::connect(inst.metrics).is_ok()
        });
        wait_until("hear", || inst.metrics_text().contains(&heard));
    }
    println!("fleet up after {:?}", t0.elapsed());
    thread::sleep(Duration::from_secs(3));
    let pids: Vec<u32> = instances.iter().map(Instance::process_id).collect();
    std::fs::write(
        "/tmp/zz_pids",
        pids.iter().map(|p| format!("{p}\n")).collect::<String>(),
    )
    .unwrap();
    let is_delegate: Vec<bool> = instances
        .iter()
        .map(|i| i.metrics_text().contains("carobwheel_is_delegate 1"))
        .collect();
    let measure = |what: &str, secs: u64| {
        let before: Vec<u64> = pids.iter().map(|p| cpu_ticks(*p)).collect();
        let t = Instant::now();
        thread::sleep(Duration::from_secs(secs));
        let el = t.elapsed().as_secs_f64();
        let used: Vec<f64> = pids
            .iter()
            .zip(before)
            .map(|(p, b)| (cpu_ticks(*p) - b) as f64 / 100.0 / el)
            .collect();
        let of = |d: bool| {
            let v: Vec<f64> = used
                .iter()
                .zip(&is_delegate)
                .filter(|(_, x)| **x == d)
                .map(|(u, _)| *u)
                .collect();
            (
                v.iter().sum::<f64>() / v.len() as f64,
                v.iter().cloned().fold(0.0, f64::max),
            )
        };
        println!(
            "{what}: delegates {:.4?} others {:.4?}",
            of(true),
            of(false)
        );
    };
    measure("idle", 4);
    let stop = Arc::new(AtomicBool::new(false));
    let ok = Arc::new(AtomicUsize::new(0));
    let bad = Arc::new(AtomicUsize::new(0));
    let mut handles = Vec::new();
    for (index, inst) in instances.iter().enumerate() {
        let (stop, ok, bad) = (stop.clone(), ok.clone(), bad.clone());
        let address = inst.callers;
        handles.push(thread::spawn(move || {
            let mut caller = Caller::connect(address);
            let mut k = index * 7919;
            let mut next = Instant::now();
            while !stop.load(Ordering::SeqCst) {
                next += Duration::from_secs_f64(1.0 / rate);
                let now = Instant::now();
                if next > now { thread::sleep(next - now); }
                k += 1;
                let headers = format!("X-Carobwheel-Prompt-Prefix: a{:x}:2520,f{:x}:3780,e{k:x}:2890\r\nX-Carobwheel-Token-Usage: 9190,60\r\n", k % 4, (k * 2654435761) % 419);
                caller.send("POST", "/brief/x", &format!("a-{index}-{k}"), &headers, "");
                let a = caller.answer();
                if a.status == 200 { ok.fetch_add(1, Ordering::SeqCst); } else { bad.fetch_add(1, Ordering::SeqCst); }
                if !a.is_complete { caller = Caller::connect(address); }
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));
    measure("load", 4);
    println!(
        "ok {} bad {}",
        ok.load(Ordering::SeqCst),
        bad.load(Ordering::SeqCst)
    );
    for e in engines.iter().step_by(4) {
        e.replace_script(std::iter::repeat_n(Script::Close, 100_000));
    }
    measure("crash 1", 2);
    println!(
        "ok {} bad {}",
        ok.load(Ordering::SeqCst),
        bad.load(Ordering::SeqCst)
    );
    measure("crash 2", 2);
    println!(
        "ok {} bad {}",
        ok.load(Ordering::SeqCst),
        bad.load(Ordering::SeqCst)
    );
    for e in engines.iter().step_by(4) {
        e.replace_script([]);
    }
    measure("after 1", 4);
    println!(
        "ok {} bad {}",
        ok.load(Ordering::SeqCst),
        bad.load(Ordering::SeqCst)
    );
    measure("after 2", 4);
    println!(
        "ok {} bad {}",
        ok.load(Ordering::SeqCst),
        bad.load(Ordering::SeqCst)
    );
    stop.store(true, Ordering::SeqCst);
    for h in handles {
        h.join().unwrap();
    }
    for (i, inst) in instances.iter().enumerate() {
        if is_delegate[i] || i == 5 {
            for l in inst.logged("load") {
                println!("{i} {}", l);
            }
        }
    }
}
