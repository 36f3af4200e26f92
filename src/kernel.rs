//! Registry in which services are registered and looked up by name.

use std::any::Any;
use std::sync::{Arc, PoisonError, RwLock};

use smol_str::SmolStr;
use snafu::{OptionExt, Snafu, ensure};

/// Failure to register or find a service.
#[derive(Debug, Snafu)]
pub enum RegistryError {
    /// Another service is registered under the name.
    #[snafu(display("service {name} is already registered"))]
    AlreadyRegistered { name: SmolStr },
    /// No service is registered under the name.
    #[snafu(display("no service is registered as {name}"))]
    NotRegistered { name: SmolStr },
    /// The service is not of the requested type.
    #[snafu(display("service {name} is not of the requested type"))]
    TypeMismatch { name: SmolStr },
}

type Handle = Arc<dyn Any + Send + Sync>;

/// Running services by name; clones share the same registry.
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    services: Arc<RwLock<Vec<(SmolStr, Handle)>>>,
}

impl ServiceRegistry {
    /// Registers a running service.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::AlreadyRegistered`] if the name is in use.
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
        let index = found.unwrap_or_else(|index| index);
        services.insert(index, (name, Arc::new(handle)));
        Ok(())
    }

    /// Finds a service by name.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::NotRegistered`] if no service has the name, and
    /// [`RegistryError::TypeMismatch`] if it is not a `T`.
    pub fn find<T: Any + Send + Sync + Clone>(&self, name: &str) -> Result<T, RegistryError> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let found = services.binary_search_by(|(registered, _)| registered.as_str().cmp(name));
        let index = found.ok().context(NotRegisteredSnafu { name })?;
        let handle = services[index].1.downcast_ref::<T>();
        handle.cloned().context(TypeMismatchSnafu { name })
    }
}
