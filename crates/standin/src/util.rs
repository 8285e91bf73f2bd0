//! Helpers for mutexes, durations and HTTP responses.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use lagoon_core::unit::Millis;
use serde::Serialize;

/// Locks a mutex, ignoring poisoning by a thread that panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Converts a duration to milliseconds, saturating at the maximum.
pub(crate) fn to_millis(duration: Duration) -> Millis {
    Millis::new(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Maximum duration accepted from a request, so that adding it to the current time can't overflow.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Converts a duration from a request, clamped to [`MAX_DURATION`].
pub(crate) fn to_bounded_duration(time: Millis) -> Duration {
    time.to_duration().min(MAX_DURATION)
}

/// Returns a response with a status code and a JSON body.
pub(crate) fn json_response(status: u16, body: &impl Serialize) -> Response {
    let status = StatusCode::from_u16(status).expect("status codes are valid literals");
    (status, Json(body)).into_response()
}
