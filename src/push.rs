//! Conversion of service documents to and from peer frames.

use primrosestack_core::digest::Document;
use primrosestack_core::peer_frame::{Body, DocumentPush, DocumentText};

pub(crate) fn document_from_frame(pushed: DocumentText) -> Document {
    Document {
        team: pushed.team.into(),
        revision: pushed.revision,
        text: pushed.text.into(),
    }
}

pub(crate) fn push_frame(documents: &[Document]) -> Body {
    let documents = documents.iter().map(|document| DocumentText {
        team: document.team.to_string(),
        revision: document.revision,
        text: document.text.to_string(),
    });
    Body::DocumentPush(DocumentPush {
        documents: documents.collect(),
    })
}
