use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use crate::harness::BoxError;
use crate::harness::log_tails::keep_log_tail;

/// Lines of each log that a failed test prints.
const LOG_LINES: usize = 40;
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Child process, killed and reaped on drop.
#[derive(Debug)]
pub(crate) struct Child {
    name: String,
    log: PathBuf,
    process: std::process::Child,
}

impl Child {
    /// Starts `program` with `stdout` as its standard output and appends its standard error to `log`.
    pub(crate) fn spawn(
        name: &str,
        program: &str,
        args: &[String],
        log: PathBuf,
        stdout: Stdio,
    ) -> Result<Self, BoxError> {
        let stderr = File::options().create(true).append(true).open(&log)?;
        let process = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .map_err(|e| format!("could not start {program}: {e}"))?;
        let name = name.to_owned();
        Ok(Self { name, log, process })
    }

    /// Reads the first line of the piped standard output; can be called once.
    pub(crate) fn read_first_line(&mut self) -> Result<String, BoxError> {
        let stdout = self
            .process
            .stdout
            .take()
            .ok_or("standard output is not piped or was already read")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        Ok(line)
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal to this process, not to its group.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), BoxError> {
        Ok(kill_process(Pid::from_child(&self.process), signal)?)
    }

    /// Returns the exit status, or `None` while the process runs.
    pub(crate) fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().ok().flatten()
    }

    /// Waits until the process exits; fails after `limit`.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, BoxError> {
        let ended = async {
            loop {
                if let Some(status) = self.try_exit_status() {
                    return status;
                }
                tokio::time::sleep(EXIT_POLL).await;
            }
        };
        let ended = tokio::time::timeout(limit, ended).await;
        ended.map_err(|_| format!("{} did not exit within {limit:?}", self.name).into())
    }

    fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let first = lines.len().saturating_sub(LOG_LINES);
        let name = &self.name;
        format!(
            "--- last lines of the log of {name}\n{}",
            lines[first..].join("\n")
        )
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Fails only if the process has exited already. SIGKILL also ends a process stopped by SIGSTOP.
        let _ = self.process.kill();
        let _ = self.process.wait();
        keep_log_tail(self.log_tail());
    }
}

/// Returns the command that runs `program` with a limit of open descriptors, if one is set.
pub(crate) fn with_descriptors(
    limit: Option<u32>,
    program: &str,
    args: Vec<String>,
) -> (String, Vec<String>) {
    let Some(limit) = limit else {
        return (program.to_owned(), args);
    };
    let script = format!("ulimit -n {limit} && exec \"$0\" \"$@\"");
    let shell_args = ["-c".to_owned(), script, program.to_owned()];
    (
        "sh".to_owned(),
        shell_args.into_iter().chain(args).collect(),
    )
}
