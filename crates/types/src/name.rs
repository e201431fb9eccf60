//! Name types, which share an immutable string between clones.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name. Does not validate it.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Borrows the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(name.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

name_type!(
    /// Name of a workspace: a group of callers that has a share of the capacity.
    WorkspaceName
);
name_type!(
    /// Name of a service: a set of interchangeable upstreams that callers address.
    ServiceName
);
name_type!(
    /// Name of an upstream: one model engine or plain service endpoint.
    UpstreamName
);
name_type!(
    /// Version of the software that an upstream runs. Versions have no order.
    SoftwareVersion
);
name_type!(
    /// Name of an instance that runs a router.
    InstanceName
);
name_type!(
    /// Name of a failure domain within a region.
    FailureDomain
);
