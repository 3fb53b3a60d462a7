//! Plays one case: starts a store, engines and clients, and the system's processes between them.
//!
//! `rig CASE FOLDER` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` in the environment it does the same without the disruption.

mod cases;
mod engine;
mod fleet;
mod http;
#[allow(dead_code)]
mod json;
mod record;
#[allow(dead_code)]
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(&case, &PathBuf::from(folder), has_trouble) {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
