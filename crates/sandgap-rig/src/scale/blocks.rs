//! The processes that run hollow proxies. A block is the set of hollow proxies in one process. A block in a child
//! process reads one command per line on standard input, answers each with one line on standard output, and exits at
//! the end of its input.

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

/// The command-line argument, followed by a block's setup, that makes a program run hollow proxies; see
/// [`serve_block`].
pub const BLOCK_COMMAND: &str = "scale-block";
/// The command that asks a block for its counters.
const TALLY: &str = "tally";

/// All hollow proxies of a run.
pub enum Blocks {
    /// One block in this process.
    Here(Block),
    /// One block in each of several child processes.
    Processes(Processes),
}

/// Child processes that run hollow proxies.
pub struct Processes {
    rig: PathBuf,
    running: Vec<Process>,
    /// The block of the process that was killed, until it is restarted.
    killed: Option<BlockSetup>,
}

/// One child process that runs a block of hollow proxies.
pub struct Process {
    block: BlockSetup,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
    child: Child,
}

impl Blocks {
    /// Starts the blocks, in this process or in as many child processes as `per_process` asks for.
    pub async fn start(setup: &Setup, all: &BlockSetup) -> Result<Self, RunError> {
        let in_one = setup.per_process.unwrap_or(all.count).min(all.count);
        check_descriptor_limit(in_one, all.count + all.voters.len())?;
        let Some(block_size) = setup.per_process else { return Ok(Blocks::Here(Block::start(all).await?)) };
        let mut running = Vec::new();
        for first in (0..all.count).step_by(block_size.max(1)) {
            let count = block_size.min(all.count - first);
            running.push(Process::start(&setup.rig, BlockSetup { first, count, ..all.clone() })?);
        }
        Ok(Blocks::Processes(Processes { rig: setup.rig.clone(), running, killed: None }))
    }

    /// The number of hollow proxies that are running.
    pub fn proxies(&self) -> usize {
        match self {
            Blocks::Here(block) => block.proxies(),
            Blocks::Processes(processes) => processes.running.iter().map(|p| p.block.count).sum(),
        }
    }

    /// Kills one of several child processes and returns how many hollow proxies it ran; `None` if there are fewer than
    /// two.
    pub async fn kill_one(&mut self) -> Option<usize> {
        let Blocks::Processes(processes) = self else { return None };
        if processes.running.len() < 2 {
            return None;
        }
        let mut process = processes.running.remove(0);
        let _ = process.child.kill().await; // it may have exited already
        processes.killed = Some(process.block.clone());
        Some(process.block.count)
    }

    /// Restarts the block of the process that was killed.
    pub fn restart_killed(&mut self) -> std::io::Result<()> {
        if let Blocks::Processes(processes) = self
            && let Some(block) = processes.killed.take()
        {
            processes.running.push(Process::start(&processes.rig, block)?);
        }
        Ok(())
    }

    /// The sum of the counters of all blocks.
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

/// Checks that the descriptor limit of a process allows for the links of `in_one` hollow proxies: each has one to each
/// member of the fleet, and both ends of a link between two proxies of the process count.
fn check_descriptor_limit(in_one: usize, members: usize) -> Result<(), RunError> {
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
        let piped = || std::io::Error::other("a child process of hollow proxies has no pipe");
        let input = child.stdin.take().ok_or_else(piped)?;
        let output = BufReader::new(child.stdout.take().ok_or_else(piped)?).lines();
        Ok(Process { block, input, output, child })
    }

    async fn tally(&mut self) -> std::io::Result<Tally> {
        self.input.write_all(format!("{TALLY}\n").as_bytes()).await?;
        let line = self.output.next_line().await?;
        let line =
            line.ok_or_else(|| std::io::Error::other("a child process of hollow proxies has exited"))?;
        Ok(serde_json::from_str(&line)?)
    }
}

/// Runs a block in this process until its standard input ends.
///
/// # Errors
/// A setup that can't be parsed, or an I/O error.
pub fn serve_block(setup: &str) -> Result<(), RunError> {
    let setup: BlockSetup = serde_json::from_str(setup).map_err(std::io::Error::from)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let block = Block::start(&setup).await?;
        let mut commands = BufReader::new(tokio::io::stdin()).lines();
        while let Some(command) = commands.next_line().await? {
            if command == TALLY {
                let answer = serde_json::to_string(&block.tally()).map_err(std::io::Error::from)?;
                writeln!(std::io::stdout(), "{answer}")?;
            }
        }
        Ok(())
    })
}
