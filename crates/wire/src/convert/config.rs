//! Conversion of configuration replies.

use span_types::Revision;

use super::ConvertError;
use crate::{ConfigBody, ConfigReply, peer_capnp::config};

/// Writes a reply to `fetchConfig`.
pub fn write_config(mut to: config::Builder<'_>, from: &ConfigReply) {
    to.set_revision(from.revision.0);
    match &from.body {
        ConfigBody::Current => to.set_current(()),
        ConfigBody::Delta(bytes) => to.set_delta(bytes),
        ConfigBody::Document(bytes) => to.set_document(bytes),
    }
}

/// Reads a reply to `fetchConfig`.
///
/// # Errors
///
/// Fails if the message is malformed or of an unknown kind.
pub fn read_config(from: config::Reader<'_>) -> Result<ConfigReply, ConvertError> {
    let body = match from.which()? {
        config::Current(()) => ConfigBody::Current,
        config::Delta(bytes) => ConfigBody::Delta(bytes?.to_vec()),
        config::Document(bytes) => ConfigBody::Document(bytes?.to_vec()),
    };
    Ok(ConfigReply { revision: Revision(from.get_revision()), body })
}
