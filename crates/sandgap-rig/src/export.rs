//! Exports a scenario for `sandgap-lab`: its servers as an experiment file and its requests as a recorded load, so that
//! results on real sockets can be compared with those of the simulator.

use std::fmt::Write as _;
use std::path::Path;

use sandgap_rules::Effect;

use crate::schedule::{Plan, TENANTS, WINDOW_MS};

/// Writes `experiment.toml` and `load.csv` to a folder. Faults are not exported: only scenarios without them can be
/// compared.
///
/// # Errors
/// A folder that can't be written to.
pub fn write(plan: &Plan, folder: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("load.csv"), load_csv(plan))?;
    std::fs::write(folder.join("experiment.toml"), experiment_toml(plan))
}

fn load_csv(plan: &Plan) -> String {
    let mut csv = String::from("at_ms,class,tenant,work_ms,timeout_ms\n");
    for r in &plan.requests {
        let _ = writeln!(
            csv,
            "{},{},{},{},{}",
            r.at as f64 / 1000.0,
            plan.classes[r.class].name,
            TENANTS[r.tenant],
            r.work_ms,
            r.timeout_ms
        );
    }
    csv
}

fn experiment_toml(plan: &Plan) -> String {
    let seconds = plan.requests.last().map_or(1.0, |r| r.at as f64 / 1e6 + 0.001);
    let mut toml = format!(
        "name = \"{} seed {}, as the rig plays it\"\nseconds = {seconds}\nwarm_seconds = 0\nrepetitions = 1\n\
         \n[fleet]\nproxies = {}\n\n[load]\nkind = \"replay\"\nfile = \"load.csv\"\n\n[network]\n\
         proxies = {{ law = \"constant\", mean_ms = 0.1 }}\n\n[discovery]\ndelay = {{ law = \"constant\", \
         mean_ms = 1.0 }}\n\n[cold]\nstart = {}\nwarm_ms = {}\nmultiple = {}\nspan_ms = {}\n",
        plan.scenario,
        plan.seed,
        plan.proxies,
        plan.cold.start,
        plan.cold.warm_ms,
        plan.cold.multiple,
        plan.cold.span_ms
    );
    for m in plan.machines.iter().take(plan.initial) {
        let _ = write!(
            toml,
            "\n[[server]]\ncount = 1\nkind = \"{}\"\nrating = {:?}\nbuild = {{ cores = {}, speed = {:?}, queue = {} }}\n",
            kind(m.speed),
            m.share,
            m.cores,
            m.speed,
            m.queue
        );
    }
    for c in &plan.classes {
        let effect = match c.effect {
            Effect::Safe => "safe",
            Effect::Keyed(_) => "keyed",
            Effect::Unsafe => "unsafe",
        };
        let _ = write!(
            toml,
            "\n[[class]]\nname = \"{}\"\neffect = \"{effect}\"\nwindow_ms = {WINDOW_MS}\naim_ms = {:?}\ndeadline_ms = {:?}\n\
             worth = {:?}\nwork = {{ law = \"constant\", mean_ms = {:?} }}\n",
            c.name, c.aim_ms, c.deadline_ms, c.worth, c.work_ms
        );
    }
    for t in TENANTS {
        let _ = write!(toml, "\n[[tenant]]\nname = \"{t}\"\nallowance_per_s = 1000000.0\n");
    }
    toml
}

/// The kind that the rig's discovery service reports for a machine of this speed.
pub fn kind(speed: f64) -> &'static str {
    if speed > 1.2 { "large" } else { "small" }
}
