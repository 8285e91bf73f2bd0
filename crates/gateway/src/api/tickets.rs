use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::HeaderMap;
use lagoon_core::id::{ShardId, Ticket};
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::v1;
use serde_json::{Value, json};

use crate::api::parse::parse_json;
use crate::api::ticket_body::TicketBody;
use crate::api::{Api, ApiError};
use crate::forward::{Client, RetryPolicy, Target};

/// Handles `POST /v1/tickets`. The call may be repeated, because tickets of a lost response expire unused.
pub(crate) async fn issue(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<Value>, ApiError> {
    api.access.authenticate(&headers)?;
    let body: TicketBody = parse_json(&body)?;
    body.check()?;
    let count = body.count;
    let call = move |mut client: Client, shard: ShardId| async move {
        let shard = shard.to_string();
        let message = v1::IssueTicketsRequest { shard, count };
        let mut response = client.issue_tickets(message).await?.into_inner();
        Ok(response.refusal.take().map_or(Ok(response), Err))
    };
    let timeout = api.request_timeout;
    let forwarder = &api.forwarder;
    let response = forwarder
        .send(&Target::AnyServing, RetryPolicy::Idempotent, timeout, call)
        .await?;
    Ok(Json(json!({"tickets": response.tickets})))
}

/// Handles `DELETE /v1/tickets/{ticket}`.
pub(crate) async fn confirm(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    Path(ticket): Path<String>,
) -> Result<Json<Value>, ApiError> {
    api.access.authenticate(&headers)?;
    let invalid = |e| Refusal::new(ResultCode::InvalidTicket, format!("{e}"));
    let ticket: Ticket = ticket.parse().map_err(invalid)?;
    let text = ticket.to_string();
    let call = |mut client: Client, shard: ShardId| {
        let message = v1::ConfirmTicketsRequest {
            shard: shard.to_string(),
            tickets: vec![text.clone()],
        };
        async move {
            let response = client.confirm_tickets(message).await?.into_inner();
            Ok(response.refusal.map_or(Ok(()), Err))
        }
    };
    let target = Target::Shard(ticket.shard().clone());
    let timeout = api.request_timeout;
    api.forwarder
        .send(&target, RetryPolicy::Idempotent, timeout, call)
        .await?;
    Ok(Json(json!({"confirmed": ticket})))
}
