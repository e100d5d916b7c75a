/** A stand-in for a plain HTTP service. */
package org.mangowall.standin.plain;
