use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use crate::harness::BoxError;
use crate::harness::ended_logs::keep_log;

/// Lines of a log that a failed test prints.
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
    /// Starts a program that writes to `stdout` and appends its standard error to `log`.
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
            .map_err(|e| format!("{program} can't be started: {e}"))?;
        let name = name.to_owned();
        Ok(Self { name, log, process })
    }

    /// Reads the first line of standard output.
    pub(crate) fn first_line(&mut self) -> Result<String, BoxError> {
        let stdout = self.process.stdout.take().ok_or("the output was read")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        Ok(line)
    }

    /// Sends a signal to this child only.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), BoxError> {
        Ok(kill_process(Pid::from_child(&self.process), signal)?)
    }

    /// Returns the exit status once the child has ended.
    pub(crate) fn exited(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().ok().flatten()
    }

    /// Waits for the end of the child.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, BoxError> {
        let ended = async {
            loop {
                if let Some(status) = self.exited() {
                    return status;
                }
                tokio::time::sleep(EXIT_POLL).await;
            }
        };
        let ended = tokio::time::timeout(limit, ended).await;
        ended.map_err(|_| format!("{} still runs after {limit:?}", self.name).into())
    }

    fn end_of_log(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let first = lines.len().saturating_sub(LOG_LINES);
        let name = &self.name;
        format!(
            "--- end of the log of {name}\n{}",
            lines[first..].join("\n")
        )
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Fails only if the child has ended. A stopped process ends at SIGKILL too.
        let _ = self.process.kill();
        let _ = self.process.wait();
        keep_log(self.end_of_log());
    }
}
