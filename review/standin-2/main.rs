//! Plays one case of the second review: `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if
//! the case could not run. With `TROUBLE=0` the disruption is left out.

#[allow(dead_code)] // no case uses all of it
mod common;
mod copies;
mod crossed;
mod drained;
mod emptied;
mod fleet;
mod retune;

use std::path::Path;
use std::process::ExitCode;

use common::{Error, Record};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let (watched, path) = (record.clone(), Path::new(folder).join("record.txt"));
    std::thread::spawn(move || common::watch_over(&watched, &path));
    let outcome = play(case, &record);
    common::yield_to_the_end();
    match &outcome {
        Ok(broken) if broken.is_empty() => record.note("verdict: the rule held"),
        Ok(broken) => broken.iter().for_each(|line| record.note(format!("verdict: broken: {line}"))),
        Err(error) => record.note(format!("verdict: the case could not run: {error}")),
    }
    if let Err(error) = record.write(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(2);
    }
    match outcome {
        Ok(broken) if broken.is_empty() => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            broken.iter().for_each(|line| println!("{case}: broken: {line}"));
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("{case}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Plays a case and returns how the rule was broken.
fn play(case: &str, record: &Record) -> Result<Vec<String>, Error> {
    match case {
        "crossed" => crossed::play(record),
        "copies" => copies::play(record),
        "retune" => retune::play(record),
        "emptied" => emptied::play(record),
        "drained" => drained::play(record),
        _ => Err("no such case".into()),
    }
}
