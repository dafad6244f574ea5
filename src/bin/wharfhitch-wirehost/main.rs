//! Adapter between the wire protocol of the operators' simulator and one [`wharfhitch::Balancer`] per proxy.
//!
//! It only translates and makes no decisions. Instances share no state.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use wire::{Fields, Instance};

/// Reads batches and writes replies until the input ends.
fn run(input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut output = BufWriter::with_capacity(1 << 16, output);
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut now: Option<f64> = None;
    let mut reply = String::new();
    let mut lines = input.lines().enumerate().map(|(n, line)| (n + 1, line)).peekable();
    while let Some((number, line)) = lines.next() {
        let line = line.map_err(|e| format!("line {number}: {e}"))?;
        let at = |what: String| format!("line {number}: {what}");
        let (name, rest) = line.split_once('\t').unwrap_or((line.trim_end(), ""));
        let fields = Fields::new(rest).map_err(at)?;
        match name {
            "" => {}
            "FRAME" => now = Some(fields.number("ts").map_err(at)?),
            "GO" => {
                now.take().ok_or_else(|| at("GO without FRAME".into()))?;
                reply.push_str("EOR\n");
                output.write_all(reply.as_bytes()).map_err(|e| at(e.to_string()))?;
                output.flush().map_err(|e| at(e.to_string()))?;
                reply.clear();
            }
            "ITEM" => {} // a list entry of a message type that this version does not know
            _ => {
                if !wire::is_known_message(name) {
                    continue;
                }
                let now = now.ok_or_else(|| at(format!("{name} outside a batch")))?;
                let id = fields.whole("i").map_err(at)?;
                if name == "UP" {
                    instances.insert(id, Instance::new(&fields).map_err(at)?);
                    continue;
                }
                if name == "CRASH_NOW" {
                    instances.remove(&id);
                    continue;
                }
                let mut items = Vec::new();
                if name == "TOPOLOGY" {
                    for _ in 0..fields.optional_whole("nodesList").map_err(at)?.unwrap_or(0) {
                        let (n, item) =
                            lines.next().ok_or_else(|| at("the server list is truncated".into()))?;
                        let item = item.map_err(|e| format!("line {n}: {e}"))?;
                        let item = item
                            .strip_prefix("ITEM\t")
                            .ok_or_else(|| format!("line {n}: expected an ITEM line"))?;
                        items.push((n, item.to_owned()));
                    }
                }
                let Some(instance) = instances.get_mut(&id) else { continue };
                let Some(event) = instance
                    .event(name, &fields, &items)
                    .map_err(|e| if e.starts_with("line ") { e } else { at(e) })?
                else {
                    continue;
                };
                let before = reply.len();
                let result = catch_unwind(AssertUnwindSafe(|| instance.handle(now, event, id, &mut reply)));
                if let Err(cause) = result {
                    reply.truncate(before);
                    let text = cause
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or_else(|| cause.downcast_ref::<&str>().copied())
                        .unwrap_or("panic");
                    let text = text.replace(['\n', '\t', '\r'], " ");
                    reply.push_str(&format!("EXCEPTION\ti={id}\tmessage={text}\n"));
                }
            }
        }
    }
    if now.is_some() { Err("the input ends inside a batch (FRAME without GO)".into()) } else { Ok(()) }
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("wharfhitch-wirehost: {text}");
            ExitCode::FAILURE
        }
    }
}
