//! The program `sandgap`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use sandgap::config::Source;
use sandgap::rules::commands;
use sandgap::settings::schema::{Default, Kind, TABLES};
use sandgap::{config, daemon, load, log, settings};

/// A reverse proxy that keeps to deadlines and retry rules during failures.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Format of log lines.
    #[arg(long, global = true, value_enum, env = "SANDGAP_LOG", default_value = "text")]
    log: log::Format,
    /// Without a command: serve with the file that NODE_CONFIG names.
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the proxy until SIGTERM.
    Serve {
        /// Settings file: sandgap's own .toml, or the platform's JSON.
        #[arg(env = "NODE_CONFIG")]
        file: PathBuf,
    },
    /// Reports all problems of a settings file; exits 2 if there are any.
    Check {
        /// The file.
        #[arg(required_unless_present = "keys")]
        file: Option<PathBuf>,
        /// Lists every key with its unit, default and bounds instead of checking a file.
        #[arg(long)]
        keys: bool,
    },
    /// Rules on which a fleet agrees: publish, status, history and more
    Fleet {
        #[command(flatten)]
        arguments: commands::FleetArguments,
        #[command(subcommand)]
        call: commands::FleetCommand,
    },
    /// Demonstrates the proxy with simulated backends: a steady load, a hang, a drain, and the verdict on the recorded
    /// requests.
    #[cfg(feature = "demo")]
    Demo {
        /// Requests per second.
        #[arg(long, default_value_t = 150.0)]
        rate: f64,
        /// Duration in seconds.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Exit code for a problem with the file or the command line, as opposed to a failed run.
const EXIT_INVALID: u8 = 2;

fn main() -> ExitCode {
    let Arguments { log: format, command } = Arguments::parse();
    log::start(format);
    let code = run(command);
    log::finish();
    code
}

fn run(command: Option<Command>) -> ExitCode {
    match command.or_else(|| Some(Command::Serve { file: std::env::var_os("NODE_CONFIG")?.into() })) {
        None => {
            sandgap::note!(error:
                "NODE_CONFIG is not set; 'sandgap serve FILE' takes a file; see 'sandgap --help'"
            );
            ExitCode::FAILURE
        }
        Some(Command::Serve { file }) => match daemon::serve(file) {
            Ok(()) => ExitCode::SUCCESS,
            Err(text) => {
                sandgap::note!(error: "{text}");
                ExitCode::FAILURE
            }
        },
        Some(Command::Check { keys: true, .. }) => {
            list_keys();
            ExitCode::SUCCESS
        }
        Some(Command::Check { file, .. }) => check(&file.unwrap_or_default()),
        Some(Command::Fleet { arguments, call }) => commands::run_command(&arguments, call),
        #[cfg(feature = "demo")]
        Some(Command::Demo { rate, seconds, seed }) => demo(rate, seconds, seed),
    }
}

fn check(file: &std::path::Path) -> ExitCode {
    if load::Kind::of(file) == load::Kind::Own {
        return match settings::read(file) {
            Ok(config) => {
                println!("{}", summary(&config));
                ExitCode::SUCCESS
            }
            Err(problems) => {
                problems.iter().for_each(|p| eprintln!("{}: {p}", file.display()));
                eprintln!("{}: {} wrong", file.display(), problems.len());
                ExitCode::from(EXIT_INVALID)
            }
        };
    }
    match load::read(file) {
        Ok(config) => {
            println!("{}", summary(&config));
            ExitCode::SUCCESS
        }
        Err(text) => {
            eprintln!("{text}");
            ExitCode::from(EXIT_INVALID)
        }
    }
}

fn summary(config: &config::Config) -> String {
    let backends = match &config.source {
        Source::Discovery(address) => format!("backends from discovery at {address}"),
        Source::Fixed(hosts) => format!("{} backends", hosts.len()),
    };
    let classes = config.names.classes.join(", ");
    format!("good: {} listens on {}, {backends}, classes {classes}", config.name, config.listen)
}

fn list_keys() {
    for table in TABLES {
        let (open, close) = if table.max_entries > 0 { ("[[", "]]") } else { ("[", "]") };
        println!("{open}{}{close}  # {}", table.name, table.about);
        for key in table.keys {
            let kind = match key.kind {
                Kind::Text => "text".to_owned(),
                Kind::Address => "address:port".to_owned(),
                Kind::Number(min, max) => format!("{min} to {max}"),
                Kind::Whole(min, max) => format!("whole, {min} to {max}"),
                Kind::Word(words) => words.join(" | "),
                Kind::Flag => "true | false".to_owned(),
            };
            let default = match key.default {
                Default::Required => "required".to_owned(),
                Default::None => "not set".to_owned(),
                Default::Text(text) => format!("{text:?}"),
                Default::Number(x) => format!("{x}"),
                Default::Whole(n) => format!("{n}"),
                Default::Flag(flag) => format!("{flag}"),
            };
            println!("  {:<18} {kind:<28} default {default:<12} {}", key.name, key.about);
        }
        println!();
    }
}

#[cfg(feature = "demo")]
fn demo(rate: f64, seconds: f64, seed: u64) -> ExitCode {
    use sandgap_rig::proxy::Program;
    if !(rate > 0.0 && rate <= 10_000.0 && (4.0..=3600.0).contains(&seconds)) {
        eprintln!(
            "sandgap: demo: --rate must be above 0 and at most 10000 per second, --seconds from 4 to 3600"
        );
        return ExitCode::from(EXIT_INVALID);
    }
    let path = match std::env::current_exe() {
        Ok(path) => path,
        Err(e) => {
            eprintln!("sandgap: the path of this program can't be determined: {e}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    let program = Program::new(path, vec!["serve".into()]);
    match sandgap_rig::demo::play(&program, rate, seconds, seed) {
        Ok(verdict) => {
            println!("{verdict}");
            if verdict.passes() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("sandgap: {e}");
            ExitCode::from(EXIT_INVALID)
        }
    }
}
