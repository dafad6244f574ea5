//! The processes that hold hollow proxies. A block in another process reads a line for each question on standard input
//! and answers it with a line on standard output; it ends when its input does.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Resource, getrlimit};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::task::LocalSet;

use super::Setup;
use super::hollow::{Block, BlockSetup, Tally};
use crate::run::RunError;

/// The argument, before a block's setup, by which a program is started that holds hollow proxies; see [`serve_block`].
pub const BLOCK_COMMAND: &str = "scale-block";
/// The question that a block answers.
const TALLY: &str = "tally";

/// All hollow proxies of a play.
pub enum Blocks {
    /// In this process.
    Here(Block),
    /// In others.
    Processes(Processes),
}

/// Processes of hollow proxies, and what they are started with.
pub struct Processes {
    rig: PathBuf,
    running: Vec<Process>,
    /// What one that was killed was to hold.
    lost: Option<BlockSetup>,
}

/// One process of hollow proxies.
pub struct Process {
    block: BlockSetup,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
    child: Child,
}

impl Blocks {
    /// Starts them.
    pub async fn start(setup: &Setup, all: &BlockSetup) -> Result<Self, RunError> {
        let in_one = setup.per_process.unwrap_or(all.count).min(all.count);
        has_descriptors(in_one, all.count + all.voters.len())?;
        let Some(each) = setup.per_process else { return Ok(Blocks::Here(Block::start(all).await?)) };
        let mut running = Vec::new();
        for first in (0..all.count).step_by(each.max(1)) {
            let count = each.min(all.count - first);
            running.push(Process::start(&setup.rig, BlockSetup { first, count, ..all.clone() })?);
        }
        Ok(Blocks::Processes(Processes { rig: setup.rig.clone(), running, lost: None }))
    }

    /// Hollow proxies that run at present.
    pub fn proxies(&self) -> usize {
        match self {
            Blocks::Here(block) => block.proxies(),
            Blocks::Processes(processes) => processes.running.iter().map(|p| p.block.count).sum(),
        }
    }

    /// Kills one of several processes; returns how many hollow proxies went with it.
    pub async fn lose_one(&mut self) -> Option<usize> {
        let Blocks::Processes(processes) = self else { return None };
        if processes.running.len() < 2 {
            return None;
        }
        let mut process = processes.running.remove(0);
        let _ = process.child.kill().await; // it may just have ended
        processes.lost = Some(process.block.clone());
        Some(process.block.count)
    }

    /// Starts anew what was lost.
    pub fn restore(&mut self) -> std::io::Result<()> {
        if let Blocks::Processes(processes) = self
            && let Some(block) = processes.lost.take()
        {
            processes.running.push(Process::start(&processes.rig, block)?);
        }
        Ok(())
    }

    /// What all of them have counted.
    pub async fn tally(&mut self) -> Result<Tally, RunError> {
        match self {
            Blocks::Here(block) => Ok(block.tally()),
            Blocks::Processes(processes) => {
                let mut all = Tally::default();
                for process in &mut processes.running {
                    all.merge(process.tally().await?);
                }
                Ok(all)
            }
        }
    }
}

/// Whether one process may hold the links of so many hollow proxies: one to each member of their fleet, and both ends of
/// those between two of them.
fn has_descriptors(in_one: usize, members: usize) -> Result<(), RunError> {
    let needed = in_one * members;
    match getrlimit(Resource::Nofile).current {
        Some(limit) if needed as u64 > limit => Err(RunError::Descriptors { in_one, needed, limit }),
        _ => Ok(()),
    }
}

impl Process {
    fn start(rig: &Path, block: BlockSetup) -> std::io::Result<Self> {
        let mut child = Command::new(rig)
            .arg(BLOCK_COMMAND)
            .arg(serde_json::to_string(&block)?)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let piped = || std::io::Error::other("no pipe to a process of hollow proxies");
        let input = child.stdin.take().ok_or_else(piped)?;
        let output = BufReader::new(child.stdout.take().ok_or_else(piped)?).lines();
        Ok(Process { block, input, output, child })
    }

    async fn tally(&mut self) -> std::io::Result<Tally> {
        self.input.write_all(format!("{TALLY}\n").as_bytes()).await?;
        let line = self.output.next_line().await?;
        let line = line.ok_or_else(|| std::io::Error::other("a process of hollow proxies has ended"))?;
        Ok(serde_json::from_str(&line)?)
    }
}

/// Runs a block in this process until its standard input ends.
///
/// # Errors
/// The system's.
pub fn serve_block(setup: &str) -> Result<(), RunError> {
    let setup: BlockSetup = serde_json::from_str(setup).map_err(std::io::Error::from)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let block = Block::start(&setup).await?;
        let mut questions = BufReader::new(tokio::io::stdin()).lines();
        while let Some(question) = questions.next_line().await? {
            if question == TALLY {
                let answer = serde_json::to_string(&block.tally()).map_err(std::io::Error::from)?;
                writeln!(std::io::stdout(), "{answer}")?;
            }
        }
        Ok(())
    })
}
