use axum::http::StatusCode;
use lagoon_core::{RefusalClass, ResultCode};

/// Returns the HTTP status of a result code. Codes without a specific status are mapped by their class.
pub fn status(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::Unauthorized => StatusCode::UNAUTHORIZED,
        ResultCode::Forbidden => StatusCode::FORBIDDEN,
        ResultCode::UnknownRoute
        | ResultCode::UnknownWork
        | ResultCode::UnknownService
        | ResultCode::UnknownTeam
        | ResultCode::UnknownHost => StatusCode::NOT_FOUND,
        ResultCode::ReadTimeout => StatusCode::REQUEST_TIMEOUT,
        ResultCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ResultCode::KeyConflict
        | ResultCode::Cancelled
        | ResultCode::StalePreview
        | ResultCode::VersionConflict => StatusCode::CONFLICT,
        ResultCode::NeverFits
        | ResultCode::DeadlineInfeasible
        | ResultCode::DeadlinePassed
        | ResultCode::InvalidPolicy => StatusCode::UNPROCESSABLE_ENTITY,
        ResultCode::QuotaExceeded | ResultCode::TooManyTickets => StatusCode::TOO_MANY_REQUESTS,
        ResultCode::QueueFull
        | ResultCode::Overloaded
        | ResultCode::StoreUnavailable
        | ResultCode::ExecutorsBusy
        | ResultCode::NoPolicy => StatusCode::SERVICE_UNAVAILABLE,
        ResultCode::AnswerTimeout => StatusCode::GATEWAY_TIMEOUT,
        ResultCode::TicketEpochLost | ResultCode::AnswerExpired => StatusCode::GONE,
        other => match other.class() {
            RefusalClass::NotRun => StatusCode::BAD_REQUEST,
            RefusalClass::NotKnown => StatusCode::BAD_GATEWAY,
            RefusalClass::Elsewhere => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}
