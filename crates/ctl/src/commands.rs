use std::io::Write;

use hyper::Method;
use lagoon_core::id::{FailureDomain, RequestKey, WorkId};
use lagoon_core::unit::Millis;
use lagoon_process::exit;
use serde_json::{Value, json};

use crate::args::{
    BatchArgs, Command, CtlArgs, GangArgs, ListArgs, RequestArgs, SubmitKind, TicketsArgs,
};
use crate::check::check;
use crate::client::Client;
use crate::command_error::CommandError;
use crate::explain::explain;
use crate::inspect::inspect;
use crate::key;
use crate::render::render;

/// Runs the command in `args` and returns the exit code.
pub(crate) async fn run(
    args: &CtlArgs,
    gateway: Option<&str>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<u8, CommandError> {
    let missing = || CommandError::Usage("missing command; see lagoonctl --help".to_owned());
    let open = || Client::from_args(args, gateway);
    let answer = match args.command.as_ref().ok_or_else(missing)? {
        Command::Check(file) => return check(file, out),
        Command::Explain(key) => return explain(key, args.output, out),
        Command::Submit(submit) => match &submit.kind {
            SubmitKind::Batch(batch) => {
                let client = open()?;
                let key = key_or_new(batch.key.as_ref(), batch.home.as_ref(), err);
                let body = batch_body(batch);
                client
                    .call(Method::POST, "/v1/jobs", Some(&key), Some(&body))
                    .await?
            }
            SubmitKind::Gang(gang) => {
                let client = open()?;
                let key = key_or_new(gang.key.as_ref(), gang.home.as_ref(), err);
                let body = gang_body(gang);
                client
                    .call(Method::POST, "/v1/jobs", Some(&key), Some(&body))
                    .await?
            }
            SubmitKind::Request(request) => run_request(request, &open()?, err).await?,
        },
        Command::Inspect(inspect_args) => inspect(args, inspect_args).await?,
        Command::List(list) => {
            open()?
                .call(Method::GET, &list_path(list), None, None)
                .await?
        }
        Command::Show(show) => {
            open()?
                .call(Method::GET, &job_path(&show.work), None, None)
                .await?
        }
        Command::Tickets(tickets) => {
            let body = tickets_body(tickets);
            open()?
                .call(Method::POST, "/v1/tickets", None, Some(&body))
                .await?
        }
        Command::Cancel(cancel) => {
            if cancel.work.is_empty() {
                return Err(CommandError::Usage(
                    "cancel requires at least one id".to_owned(),
                ));
            }
            return Ok(cancel_all(args, &cancel.work, &open()?, out, err).await);
        }
    };
    let _ = writeln!(out, "{}", render(args.output, &answer));
    Ok(exit_code(&answer))
}

/// Cancels jobs one by one, continuing after failures. Returns the highest exit code.
async fn cancel_all(
    args: &CtlArgs,
    works: &[WorkId],
    client: &Client,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    let mut highest_code = exit::SUCCESS;
    for work in works {
        match client
            .call(Method::DELETE, &job_path(work), None, None)
            .await
        {
            Ok(answer) => {
                let _ = writeln!(out, "{}", render(args.output, &answer));
            }
            Err(e) => {
                let _ = writeln!(err, "{work}: {e}");
                highest_code = highest_code.max(e.exit_code());
            }
        }
    }
    highest_code
}

async fn run_request(
    request: &RequestArgs,
    client: &Client,
    err: &mut dyn Write,
) -> Result<Value, CommandError> {
    let body = json!({
        "service": request.service,
        "team": request.team,
        "priority": request.priority,
        "deadline_ms": request.deadline.map(Millis::get),
        "ticket": request.ticket,
        "home": request.home,
        "payload": request.payload,
    });
    let key = match (&request.ticket, &request.key) {
        (Some(_), Some(_)) => {
            let message = "--ticket and --key are mutually exclusive";
            return Err(CommandError::Usage(message.to_owned()));
        }
        (Some(_), None) if request.home.is_some() => {
            let message =
                "--home can't be combined with --ticket, which names its own failure domain";
            return Err(CommandError::Usage(message.to_owned()));
        }
        (Some(_), None) => None,
        (None, key) => Some(key_or_new(key.as_ref(), request.home.as_ref(), err)),
    };
    client
        .call(Method::POST, "/v1/requests", key.as_ref(), Some(&body))
        .await
}

/// Returns `key`, or generates a key. A generated key is printed before the request is sent, so that the user has it even
/// if the response is lost.
fn key_or_new(
    key: Option<&RequestKey>,
    home: Option<&FailureDomain>,
    err: &mut dyn Write,
) -> RequestKey {
    key.cloned().unwrap_or_else(|| {
        let key = key::generate();
        let home = home
            .map(|home| format!(" --home {home}"))
            .unwrap_or_default();
        let _ = writeln!(
            err,
            "idempotency key: {key} (repeat safely with --key {key}{home})"
        );
        key
    })
}

fn batch_body(batch: &BatchArgs) -> Value {
    json!({
        "kind": "batch",
        "team": batch.team,
        "home": batch.home,
        "priority": batch.priority,
        "deadline_ms": batch.deadline.map(Millis::get),
        "resources": {
            "cpu": batch.cpu.to_string(),
            "memory": batch.memory.to_string(),
            "accelerators": batch.accelerators,
        },
        "run_ms": batch.run,
        "repeatability": repeatability(batch.restartable),
        "payload": batch.payload,
    })
}

fn gang_body(gang: &GangArgs) -> Value {
    json!({
        "kind": "gang",
        "team": gang.team,
        "home": gang.home,
        "priority": gang.priority,
        "deadline_ms": gang.deadline.map(Millis::get),
        "resources": {
            "cpu": gang.cpu.to_string(),
            "memory": gang.memory.to_string(),
            "accelerators": gang.accelerators,
        },
        "members": gang.members,
        "run_ms": gang.run,
        "repeatability": repeatability(gang.restartable),
        "placement": {"spread": gang.spread},
        "payload": gang.payload,
    })
}

fn repeatability(restartable: bool) -> &'static str {
    if restartable {
        "restartable"
    } else {
        "at_most_once"
    }
}

fn tickets_body(tickets: &TicketsArgs) -> Value {
    json!({"service": tickets.service, "count": tickets.count})
}

fn list_path(list: &ListArgs) -> String {
    let mut path = format!("/v1/jobs?limit={}", list.limit);
    if let Some(team) = &list.team {
        path.push_str(&format!("&team={team}"));
    }
    if let Some(state) = &list.state {
        path.push_str(&format!("&state={state}"));
    }
    path
}

fn job_path(work: &WorkId) -> String {
    format!("/v1/jobs/{work}")
}

/// Returns the exit code for a response. A request that ran but reported a failure has failed.
fn exit_code(answer: &Value) -> u8 {
    if answer["outcome"] == "failed" {
        return exit::FAILED;
    }
    exit::SUCCESS
}
