//! Stand-ins and checks of the cases in `review/`. The arguments are the name of the case, the folder for its
//! record, and `with-trouble` or `without-trouble`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod cold;
mod draining;
mod engine;
mod http;
mod instance;
mod json;
mod record;
mod restarts;
mod store;

use record::Record;
use std::{path::PathBuf, process::exit, sync::Arc};

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let has_trouble = match arguments.next().as_deref() {
        Some("with-trouble") => true,
        Some("without-trouble") => false,
        _ => {
            println!("the last argument is with-trouble or without-trouble");
            exit(2);
        }
    };
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
    let work = std::env::temp_dir().join(format!("carobwheel-review-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("a temporary folder");
    let outcome = match case.as_str() {
        "draining" => draining::run(&record, &work, has_trouble),
        "cold" => cold::run(&record, &work, has_trouble),
        "restarts" => restarts::run(&record, &work, has_trouble),
        other => Outcome::CouldNotRun(format!("there is no case {other}")),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&work);
    } else {
        println!("logs: {}", work.display());
    }
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken(reason) => (1, format!("the rule was broken: {reason}")),
        Outcome::CouldNotRun(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
