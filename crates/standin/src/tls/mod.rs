//! Certificates for demonstrations and tests.
