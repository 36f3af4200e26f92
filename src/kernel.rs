//! Micro-kernel: services register under a name and find each other by it.

use std::any::Any;
use std::sync::{Arc, PoisonError, RwLock};

use smol_str::SmolStr;
use snafu::{OptionExt, Snafu, ensure};

/// Why a service could not be registered or found.
#[derive(Debug, Snafu)]
pub enum RegistryError {
    /// The name is taken.
    #[snafu(display("service {name} is registered already"))]
    AlreadyRegistered {
        /// The name.
        name: SmolStr,
    },
    /// No service has this name.
    #[snafu(display("no service is registered as {name}"))]
    NotRegistered {
        /// The name.
        name: SmolStr,
    },
    /// The service has another type.
    #[snafu(display("service {name} has another type than the one asked for"))]
    TypeMismatch {
        /// The name.
        name: SmolStr,
    },
}

type Handle = Arc<dyn Any + Send + Sync>;

/// Names and handles of the running services; a clone is the same kernel.
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    services: Arc<RwLock<Vec<(SmolStr, Handle)>>>,
}

impl ServiceRegistry {
    /// Registers a running service.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::AlreadyRegistered`] if the name is registered already.
    pub fn register<T: Any + Send + Sync>(
        &self,
        name: impl Into<SmolStr>,
        handle: T,
    ) -> Result<(), RegistryError> {
        let name = name.into();
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let found = services.binary_search_by(|(registered, _)| registered.cmp(&name));
        ensure!(found.is_err(), AlreadyRegisteredSnafu { name });
        let at = found.unwrap_or_else(|at| at);
        services.insert(at, (name, Arc::new(handle)));
        Ok(())
    }

    /// Finds a service by name.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::NotRegistered`] if no service has the name, and [`RegistryError::TypeMismatch`] if its handle is not
    /// a `T`.
    pub fn find<T: Any + Send + Sync + Clone>(&self, name: &str) -> Result<T, RegistryError> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let found = services.binary_search_by(|(registered, _)| registered.as_str().cmp(name));
        let at = found.ok().context(NotRegisteredSnafu { name })?;
        let handle = services[at].1.downcast_ref::<T>();
        handle.cloned().context(TypeMismatchSnafu { name })
    }
}
