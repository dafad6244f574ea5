//! The tables of a fleet: `[fleet]`, `[[voter]]`, `[[way]]`.

use std::time::Duration;

use hyper::header::HeaderName;
use sandgap_agree::LeaseBound;
use sandgap_agree::Timing;
use sandgap_fleet::Drift;
use sandgap_fleet::frame::Key;
use sandgap_fleet::limits::MAX_NAME_BYTES;

use super::check::Reader;
use super::{File, check_unique};
use crate::config::Fleet;

/// The fleet that a file describes, if any; problems are added to the reader.
pub(super) fn read(file: &File, reader: &mut Reader) -> Option<Fleet> {
    let Some(listen) = file.fleet.listen else {
        if !file.voter.is_empty() {
            reader.add_without_line("[[voter]] goes with [fleet] listen".into());
        }
        return None;
    };
    let name = file.proxy.name.clone();
    for name in file.voter.iter().map(|v| &v.name).chain([&name]).filter(|n| n.len() > MAX_NAME_BYTES) {
        reader
            .add_without_line(format!("'{name}': a name in a fleet may have at most {MAX_NAME_BYTES} bytes"));
    }
    check_unique("voter", file.voter.iter().map(|v| v.name.as_str()), reader);
    check_unique("way", file.way.iter().map(|w| w.to.as_str()), reader);
    if file.voter.is_empty() {
        reader.add_without_line("[fleet] needs its voters: three or five [[voter]]".into());
    }
    match file.voter.iter().find(|v| v.name == name) {
        Some(own) if own.address != listen => {
            reader.add_without_line(format!(
                "voter '{name}' is this proxy: its address must be [fleet] listen, {listen}"
            ));
        }
        Some(_) if file.fleet.store.is_none() => {
            reader.add_without_line(format!(
                "voter '{name}' is this proxy: [fleet] needs 'store', the file of its log"
            ));
        }
        _ => {}
    }
    let key = key(file.fleet.key.as_deref(), reader)?;
    let header = match file.fleet.header.as_deref().map(str::parse::<HeaderName>) {
        Some(Err(_)) => {
            reader.add_without_line("[fleet] header is not a valid header name".into());
            None
        }
        header => header.and_then(Result::ok),
    };
    let bound = Duration::from_secs_f64(file.fleet.bound_ms / 1000.0);
    let lease_bound = LeaseBound { bound, drift: Drift::ppm(file.fleet.drift_ppm) };
    Some(Fleet {
        name,
        zone: file.proxy.zone.clone(),
        listen,
        key,
        timing: Timing::new(lease_bound, file.fleet.order == "apart"),
        voters: file.voter.iter().map(|v| (v.name.clone(), v.address)).collect(),
        dial_addresses: file.way.iter().map(|w| (w.to.clone(), w.address)).collect(),
        store: file.fleet.store.clone(),
        kept_version_path: file.fleet.keep.clone(),
        header,
    })
}

fn key(path: Option<&str>, reader: &mut Reader) -> Option<Key> {
    let Some(path) = path else {
        reader.add_without_line("[fleet] needs 'key', a file with the key that all proxies share".into());
        return None;
    };
    let read = std::fs::read_to_string(path).map_err(|e| e.to_string());
    match read.and_then(|text| Key::parse(&text).map_err(|e| e.to_string())) {
        Ok(key) => Some(key),
        Err(e) => {
            reader.add_without_line(format!("[fleet] key: {path}: {e}"));
            None
        }
    }
}
