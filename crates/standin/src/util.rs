//! Private helpers for state under locks and for payload directives.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use lagoon_core::unit::Millis;
use serde::Serialize;

/// Locks a mutex even if another thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Converts to milliseconds; stops at the largest amount.
pub(crate) fn to_millis(duration: Duration) -> Millis {
    Millis::new(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Longest duration that a request can ask for; adding it to the present time can't overflow.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Converts a duration from a request, at most a year.
pub(crate) fn bounded(time: Millis) -> Duration {
    time.to_duration().min(MAX_DURATION)
}

/// Builds an answer with a status and a JSON body.
pub(crate) fn json(status: u16, body: &impl Serialize) -> Response {
    let status = StatusCode::from_u16(status).expect("statuses are literals");
    (status, Json(body)).into_response()
}
