//! The operator's requests to evacuate failure domains.

use primrosestack_platform::catalog::evacuated_domain;
use smol_str::SmolStr;
use snafu::{OptionExt, Snafu};

/// Why a request has no effect.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum RequestError {
    #[snafu(display("the key contains no name of a failure domain"))]
    Name,
    #[snafu(display("the failure domain is not in the settings"))]
    UnknownDomain,
}

/// Finds the failure domain that the request with a key evacuates, among all of the deployment, which are sorted.
///
/// # Errors
///
/// Returns [`RequestError`] if the key names none of them.
pub fn requested_domain<'a>(
    key: &str,
    failure_domains: &'a [SmolStr],
) -> Result<&'a SmolStr, RequestError> {
    let name = evacuated_domain(key).context(NameSnafu)?;
    let found = failure_domains.binary_search_by(|domain| domain.as_str().cmp(name));
    found
        .ok()
        .map(|index| &failure_domains[index])
        .context(UnknownDomainSnafu)
}
