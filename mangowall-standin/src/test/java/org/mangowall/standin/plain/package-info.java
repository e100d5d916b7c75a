/** Tests of the plain service stand-in. */
package org.mangowall.standin.plain;
