// Package rpcbody reads the bodies of unary calls within a byte budget before the libraries for
// connect and twirp see them. These libraries buffer a whole message for each call, of which a small
// compressed body or one of many empty elements takes many times its size. A call for which there
// is no memory is refused before it is carried out.
package rpcbody
