//! The cases of the review: `standin CASE RECORD`. Standard library only.

mod common;
mod crossed;
mod cut;
mod desks;
mod drains;
mod guest;
mod ids;
mod late;
mod pause;
mod pieces;
mod resort;
mod silent;
mod stale;
mod twice;
mod unleased;
mod version;

use std::path::Path;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [name, record] = &words[..] else {
        eprintln!("standin CASE RECORD");
        std::process::exit(2);
    };
    let case = common::Case::new(Path::new(record));
    // A step that fails is no verdict.
    let play = std::panic::AssertUnwindSafe(|| match name.as_str() {
        "twice" => twice::run(&case),
        "crossed" => crossed::run(&case),
        "drains" => drains::run(&case),
        "pause" => pause::run(&case),
        "pieces" => pieces::run(&case),
        "late" => late::run(&case),
        "desks" => desks::run(&case),
        "cut" => cut::run(&case),
        "stale" => stale::run(&case),
        "silent" => silent::run(&case),
        "guest" => guest::run(&case),
        "ids" => ids::run(&case),
        "resort" => resort::run(&case),
        "version" => version::run(&case),
        "unleased" => unleased::run(&case),
        _ => case.cannot_run("no such case"),
    });
    if std::panic::catch_unwind(play).is_err() {
        case.cannot_run("a step failed; see the standard error");
    }
}
