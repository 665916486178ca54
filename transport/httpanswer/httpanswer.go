// Package httpanswer reads the answers of HTTP/1.1 servers.
package httpanswer
