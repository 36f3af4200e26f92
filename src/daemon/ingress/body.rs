//! Bodies within the budget of their listener.

use std::rc::Rc;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use crate::daemon::ingress::limiter::{Connection, Reservation};
use crate::daemon::ingress::table::Phase;

/// A complete body and its share of the budget.
pub struct ReceivedBody {
    pub bytes: Vec<u8>,
    pub reservation: Reservation,
}

/// Why a body is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRefusal {
    /// Over the limit for one body, or cut off.
    TooLarge,
    /// The budget for bodies is exhausted.
    NoRoom,
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
///
/// Returns [`BodyRefusal`] if the body is not read.
pub async fn read(
    connection: &Rc<Connection>,
    body: Incoming,
    max_bytes: usize,
) -> Result<ReceivedBody, BodyRefusal> {
    let length = body.size_hint().exact();
    let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if length.is_some_and(|length| length > max_bytes) {
        return Err(BodyRefusal::TooLarge);
    }
    connection.set_phase(Phase::Body);
    let mut reservation = connection.reserve();
    let mut bytes = Vec::new();
    let mut body = Limited::new(body, max_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(BodyRefusal::TooLarge);
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let needed = bytes.len() + data.len();
        if needed > reservation.bytes() {
            let is_complete = length == Some(needed);
            let wanted = match length {
                Some(length) => length.min(needed.max(2 * bytes.len())),
                None => max_bytes.min(needed.max(2 * bytes.len())),
            };
            if !(is_complete && reservation.resize(wanted, true) || reservation.grow(wanted).await)
            {
                return Err(BodyRefusal::NoRoom);
            }
            bytes.reserve_exact(wanted - bytes.len());
        }
        bytes.extend_from_slice(data);
    }
    connection.set_phase(Phase::Busy);
    Ok(ReceivedBody { bytes, reservation })
}
