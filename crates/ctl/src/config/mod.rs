//! Commands on the configuration document.
