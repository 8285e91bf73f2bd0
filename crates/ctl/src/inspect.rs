use hyper::Method;
use serde_json::Value;

use crate::args::{CtlArgs, InspectArgs, InspectKind};
use crate::client::Client;
use crate::command_error::CommandError;

/// Queries the state of a node.
pub(crate) async fn inspect(args: &CtlArgs, inspect: &InspectArgs) -> Result<Value, CommandError> {
    let client = Client::with_address(args, &inspect.node)?;
    let path = match &inspect.kind {
        InspectKind::Cell(_) => "/v1/cell".to_owned(),
        InspectKind::Executors(_) => "/v1/executors".to_owned(),
        InspectKind::Job(job) => format!("/v1/jobs/{}", job.job),
    };
    client.call(Method::GET, &path, None, None).await
}
